package org.magnoliaseam.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when waiting requests are refused and when their callers come back. */
class RefusalRuleTest {

    private static final long MILLI = 1_000_000L;

    /** Tests the forecast of the wait. */
    @Nested
    class Forecast {

        private final DrainForecast mForecast = new DrainForecast();

        private void starts(int count, long intervalMillis) {
            mForecast.waiting(true, 0);
            for (int i = 1; i <= count; i++) {
                mForecast.started(i * intervalMillis * MILLI);
                mForecast.waiting(true, i * intervalMillis * MILLI);
            }
        }

        @Test
        void isZeroWhileNothingWaits() {
            starts(100, 10);
            assertThat(mForecast.waitMillis(1, 0, 1000 * MILLI)).isZero();
        }

        @Test
        void isZeroWhileTheRateIsUnknown() {
            starts(2, 10);
            assertThat(mForecast.waitMillis(1, 50, 20 * MILLI)).isZero();
        }

        @Test
        void startsWhileNothingWaitsTellNothingAboutTheCapacity() {
            for (int i = 1; i <= 10; i++) {
                mForecast.started(i * 1000 * MILLI);
            }
            mForecast.waiting(true, 10_000 * MILLI);
            for (int i = 1; i <= 100; i++) {
                mForecast.started((10_000 + 10 * i) * MILLI);
                mForecast.waiting(true, (10_000 + 10 * i) * MILLI);
            }
            assertThat(mForecast.waitMillis(1, 50, 11_000 * MILLI)).isBetween(480.0, 520.0);
        }

        @Test
        void followsTheRateOfStarts() {
            starts(1000, 10);
            assertThat(mForecast.waitMillis(1, 50, 10_000 * MILLI)).isBetween(480.0, 520.0);
        }

        @Test
        void lowerPrioritiesWaitForMoreUrgentArrivals() {
            starts(1000, 10);
            for (int i = 2; i <= 1000; i += 2) {
                mForecast.arrived(0, i * 10 * MILLI);
            }
            assertThat(mForecast.waitMillis(0, 50, 10_000 * MILLI)).isBetween(480.0, 520.0);
            assertThat(mForecast.waitMillis(1, 50, 10_000 * MILLI)).isBetween(960.0, 1040.0);
        }

        @Test
        void lowestPriorityKeepsItsGuaranteedShare() {
            starts(1000, 10);
            for (int i = 1; i <= 1000; i++) {
                mForecast.arrived(0, i * 10 * MILLI);
            }
            assertThat(mForecast.waitMillis(1, 10, 10_000 * MILLI)).isBetween(780.0, 820.0);
        }
    }

    /** Tests the decision. */
    @Nested
    class Hopeless {
        @Test
        void isNotRefusedWhileABackendServerCanAnswerInTime() {
            assertThat(RefusalRule.isHopeless(0, 300, 100, 400 * MILLI)).isFalse();
        }

        @Test
        void isRefusedWhenNoBackendServerCanAnswerInTime() {
            assertThat(RefusalRule.isHopeless(0, 301, 100, 400 * MILLI)).isTrue();
        }
    }

    /** Tests the delay of refused callers. */
    @Nested
    class Return {
        @Test
        void callersReturnWhenTheQueueHasDrained() {
            assertThat(RefusalRule.retryAfterMillis(800, 0, 10_000, 0)).isEqualTo(800);
        }

        @Test
        void callersReturnAtDifferentTimes() {
            assertThat(RefusalRule.retryAfterMillis(800, 0, 10_000, 0.5)).isEqualTo(1000);
        }

        @Test
        void delayLeavesTimeForTheNextAttempt() {
            assertThat(RefusalRule.retryAfterMillis(4000, 0, 3000, 0.9)).isEqualTo(900);
            assertThat(RefusalRule.retryAfterMillis(4000, 0, -5, 0.9)).isZero();
        }
    }

    /** Tests the limit of prompts at an engine. */
    @Nested
    class Backlog {
        @Test
        void engineWithFewWaitingPromptsGetsMore() {
            assertThat(EngineBacklogLimit.admits(0, 300)).isTrue();
            assertThat(EngineBacklogLimit.admits(150, 300)).isTrue();
        }

        @Test
        void engineWithManyWaitingPromptsGetsNoMore() {
            assertThat(EngineBacklogLimit.admits(151, 300)).isFalse();
        }
    }
}
