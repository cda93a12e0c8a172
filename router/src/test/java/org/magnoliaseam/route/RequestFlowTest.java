package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;

/** Tests that each request ends with an answer or a refusal. */
class RequestFlowTest {

    private final FlowFixture mSite = new FlowFixture();

    /** Tests decisions that fail. */
    @Nested
    class FailedDecision {

        @Test
        void requestWithAPathThatIsNoUriIsRefused() {
            FlowFixture.Caller caller = mSite.submit("a", FlowFixture.LOOKUP, "/a?b={c}", "");
            assertThat(caller.mRefusal).isEqualTo(Refusal.of(ErrorKind.INTERNAL));
            assertThat(mSite.mFlow.active()).isZero();
        }

        @Test
        void requestsBehindOneWithAPathThatIsNoUriAreStarted() {
            mSite.submit("a", FlowFixture.LOOKUP, "/a?b={c}", "");
            for (int i = 0; i < 3; i++) {
                mSite.submit("r" + i, FlowFixture.LOOKUP, "/a", "");
            }
            assertThat(mSite.mTries).hasSize(3);
        }
    }
}
