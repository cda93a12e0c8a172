package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.model.RequestId;

/** Tests decisions and actions that fail. */
class DeferredActionsTest {

    private final List<String> mRun = new ArrayList<>();

    private final DeferredActions mActions =
            new DeferredActions(
                    new FailureLog(new MetricRegistry(), () -> 0),
                    new RequestId("r1"),
                    () -> mRun.add("end"));

    private static void fail() {
        throw new IllegalStateException("fails");
    }

    @Test
    void actionThatFailsDoesNotSkipTheOthers() {
        Runnable decision =
                () -> {
                    mActions.add(DeferredActionsTest::fail);
                    mActions.add(() -> mRun.add("answer"));
                };
        catchThrowable(() -> mActions.decide(decision));
        assertThat(mRun).containsExactly("answer");
    }

    @Test
    void decisionThatFailsLeavesNoActionToTheNext() {
        Runnable decision =
                () -> {
                    mActions.add(() -> mRun.add("cancel"));
                    fail();
                };
        catchThrowable(() -> mActions.decide(decision));
        assertThat(mRun).containsExactly("end", "cancel");
    }
}
