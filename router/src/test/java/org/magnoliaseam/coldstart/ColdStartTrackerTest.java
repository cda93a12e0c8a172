package org.magnoliaseam.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.WarmServer;
import org.magnoliaseam.model.StartId;

/** Tests the transitions of one server between cold and warm. */
class ColdStartTrackerTest {

    private static final StartId RUN = new StartId("run-1");
    private static final StartId NEXT_RUN = new StartId("run-2");
    private static final int SHARE = 4;
    private static final ColdSendRight HELD = new ColdSendRight(true, 1, "held");
    private static final ColdSendRight NOT_HELD = ColdSendRight.refused("not held");

    private final ColdStartTracker mTracker = new ColdStartTracker(ColdFleetModel.SERVER, 0);
    private long mNowNanos = 1;

    private SlotDecision decide(ColdSendRight right) {
        return mTracker.decide(right, SHARE, mNowNanos);
    }

    private void report(StartId startId, int running) {
        decide(HELD);
        mTracker.report(new LoadReport(startId, running, 0, false, mNowNanos));
    }

    private void pass(long millis) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void complete(StartId startId, double firstTokenMillis, int times) {
        for (int i = 0; i < times; i++) {
            mTracker.started(mNowNanos);
            mTracker.completed(startId, firstTokenMillis, mNowNanos);
        }
    }

    private void warmUp() {
        report(RUN, 0);
        mTracker.peerSaysWarm(new WarmServer(ColdFleetModel.SERVER.id(), RUN), mNowNanos);
    }

    /** Tests a server that is cold. */
    @Nested
    class Cold {
        @Test
        void hasNoSlotsWithoutRightOrReport() {
            assertThat(decide(HELD).slots()).isZero();
            report(RUN, 0);
            assertThat(decide(HELD).slots()).isEqualTo(1);
            assertThat(decide(NOT_HELD).slots()).isZero();
            assertThat(decide(HELD).slots()).isZero();
            report(RUN, 0);
            pass(ColdStartTracker.REPORT_MAX_AGE_MILLIS + 1);
            assertThat(decide(HELD).slots()).isZero();
        }

        @Test
        void hasNoSlotsWhileOtherVmsUseTheLimit() {
            report(RUN, ColdFleetModel.COLD_LIMIT);
            assertThat(decide(HELD).slots()).isZero();
        }

        @Test
        void slotsGrowWithCompletionsAndDropAfterFailure() {
            report(RUN, 0);
            complete(RUN, 200, 1);
            assertThat(decide(HELD).slots()).isEqualTo(2);
            mTracker.started(mNowNanos);
            mTracker.failed(SHARE, mNowNanos);
            assertThat(decide(HELD).slots()).isEqualTo(1);
        }

        @Test
        void isWarmAfterCompletionsAtTheFullLimitAndThenSlotsDouble() {
            report(RUN, 0);
            complete(RUN, 200, 1 + ColdLimit.WARM_COMPLETIONS);
            assertThat(decide(NOT_HELD)).extracting("slots", "cold").containsExactly(2, false);
            assertThat(mTracker.claim(SHARE)).isPresent();
            complete(RUN, 200, 2);
            assertThat(decide(NOT_HELD).slots()).isEqualTo(4);
        }
    }

    /** Tests a server that is warm. */
    @Nested
    class Warm {
        @Test
        void isColdAfterRestartAndIgnoresTheFinishedRun() {
            warmUp();
            assertThat(decide(NOT_HELD).cold()).isFalse();
            complete(NEXT_RUN, 200, 1);
            assertThat(decide(NOT_HELD).cold()).isTrue();
            warmUp();
            assertThat(decide(NOT_HELD).cold()).isTrue();
        }

        @Test
        void isColdAfterResetUntilALaterReportShowsTheSameRun() {
            warmUp();
            mTracker.reset(mNowNanos);
            assertThat(decide(NOT_HELD).cold()).isTrue();
            warmUp();
            assertThat(decide(NOT_HELD).cold()).isTrue();
            pass(PeerLoadBound.REPORT_LAG_MILLIS);
            warmUp();
            assertThat(decide(NOT_HELD).cold()).isFalse();
        }

        @Test
        void isColdWhenFarSlowerThanItsHistoryAndIgnoresPeerClaimsForAWhile() {
            warmUp();
            complete(RUN, 300, 30);
            complete(RUN, 5_000, 3);
            assertThat(decide(NOT_HELD).cold()).isTrue();
            warmUp();
            assertThat(decide(NOT_HELD).cold()).isTrue();
            pass(ColdStartTracker.SLOW_HOLD_MILLIS);
            warmUp();
            assertThat(decide(NOT_HELD).cold()).isFalse();
        }

        @Test
        void claimIsWithheldWhileMoreThanTheShareRuns() {
            warmUp();
            mTracker.started(mNowNanos);
            mTracker.started(mNowNanos);
            assertThat(mTracker.claim(1)).isEmpty();
            assertThat(mTracker.claim(2)).isPresent();
        }
    }
}
