package org.magnoliaseam.pushback;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the times for which a backend server wants no requests. */
class ServerPushbackTest {

    private static final long MILLI = 1_000_000;

    private static final long SECOND = 1000 * MILLI;

    private final ServerPushback mPushback = new ServerPushback();

    /** Tests the time itself. */
    @Nested
    class Time {
        @Test
        void nothingIsSentBeforeTheEnd() {
            mPushback.received(2000, 0, SECOND);
            assertThat(mPushback.admits(SECOND)).isFalse();
            assertThat(mPushback.admits(3 * SECOND - 1)).isFalse();
            assertThat(mPushback.admits(3 * SECOND)).isTrue();
        }

        @Test
        void randomPartNeverShortensTheTime() {
            mPushback.received(2000, 0.999, SECOND);
            assertThat(mPushback.untilNanos(SECOND))
                    .isBetween(3 * SECOND, 3 * SECOND + 200 * MILLI);
        }

        @Test
        void laterNoticeDoesNotShortenTheTime() {
            mPushback.received(5000, 0, 0);
            assertThat(mPushback.received(300, 0, SECOND)).isFalse();
            assertThat(mPushback.untilNanos(SECOND)).isEqualTo(5 * SECOND);
        }

        @Test
        void laterNoticeExtendsTheTime() {
            mPushback.received(1000, 0, 0);
            mPushback.received(1000, 0, 900 * MILLI);
            assertThat(mPushback.isActive(1800 * MILLI)).isTrue();
        }

        @Test
        void endIsReportedOnce() {
            mPushback.received(1000, 0, 0);
            assertThat(mPushback.takeEnd(500 * MILLI)).isFalse();
            assertThat(mPushback.takeEnd(SECOND)).isTrue();
            assertThat(mPushback.takeEnd(2 * SECOND)).isFalse();
            assertThat(mPushback.lastedMillis()).isEqualTo(1000);
        }
    }

    /** Tests how requests return after the end. */
    @Nested
    class Return {
        @Test
        void requestsReturnOneThenTwoThenFour() {
            mPushback.received(1000, 0, 0);
            assertThat(admitted()).isEqualTo(1);
            mPushback.ended(1, true);
            assertThat(admitted()).isEqualTo(2);
            mPushback.ended(1, true);
            mPushback.ended(1, true);
            assertThat(admitted()).isGreaterThanOrEqualTo(4);
        }

        @Test
        void attemptWithoutAnAnswerFreesItsPlaceOnly() {
            mPushback.received(1000, 0, 0);
            mPushback.started();
            mPushback.ended(1, false);
            assertThat(admitted()).isEqualTo(1);
        }

        @Test
        void attemptsBeforeTheNoticeDoNotCount() {
            int before = mPushback.started();
            mPushback.received(1000, 0, 0);
            mPushback.ended(before, true);
            assertThat(admitted()).isEqualTo(1);
        }

        @Test
        void numberIsNotLimitedAfterManyAnswers() {
            mPushback.received(1000, 0, 0);
            for (int i = 0; i < 5; i++) {
                mPushback.started();
                mPushback.ended(1, true);
            }
            for (int i = 0; i < 1000; i++) {
                mPushback.started();
            }
            assertThat(mPushback.admits(2 * SECOND)).isTrue();
        }

        private int admitted() {
            int admitted = 0;
            while (admitted < 100 && mPushback.admits(2 * SECOND)) {
                mPushback.started();
                admitted++;
            }
            return admitted;
        }
    }

    /** Tests what is told to operators. */
    @Nested
    class Reports {
        @Test
        void shortTimesDoNotFloodTheLog() {
            int lines = 0;
            for (long now = 0; now < 60 * SECOND; now += 100 * MILLI) {
                mPushback.received(50, 0, now);
                lines += mPushback.takeReport(now) ? 1 : 0;
            }
            assertThat(lines).isLessThanOrEqualTo(12);
        }

        @Test
        void nearlyPermanentPushbackIsToldOnceInHalfAMinute() {
            int told = 0;
            for (long now = 0; now < 95 * SECOND; now += SECOND) {
                mPushback.received(950, 0, now);
                told += mPushback.takeNearlyPermanent(now) ? 1 : 0;
            }
            assertThat(told).isEqualTo(3);
        }

        @Test
        void occasionalPushbackIsNotTold() {
            for (long now = 0; now < 95 * SECOND; now += 2 * SECOND) {
                mPushback.received(300, 0, now);
                assertThat(mPushback.takeNearlyPermanent(now)).isFalse();
            }
        }
    }
}
