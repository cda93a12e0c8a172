package org.magnoliaseam.fact;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the versions and the freshness of received values. */
class FactTest {

    private static final long LIMIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(PauseDetector.PAUSE_LIMIT_MILLIS);

    private final PauseDetector mPauses = new PauseDetector(0);

    /** Tests repeated and changed values from a source. */
    @Nested
    class Confirmed {
        @Test
        void olderVersionChangesNothing() {
            Fact<String> value = new Fact<>("new", 7, 10);
            assertThat(value.confirm("old", 6, 20)).isEqualTo(value);
        }

        @Test
        void sameVersionIsConfirmedAndNewerVersionReplaces() {
            Fact<String> value = new Fact<>("a", 7, 10);
            assertThat(value.confirm("a", 7, 20)).isEqualTo(new Fact<>("a", 7, 20));
            assertThat(value.confirm("b", 8, 20)).isEqualTo(new Fact<>("b", 8, 20));
        }
    }

    /** Tests a process that was paused. */
    @Nested
    class AfterPause {
        @Test
        void valueFromBeforeThePauseIsNotFreshUntilConfirmed() {
            Fact<String> value = new Fact<>("a", 1, 0);
            assertThat(value.isFresh(60_000, mPauses, LIMIT_NANOS)).isTrue();
            assertThat(mPauses.tick(LIMIT_NANOS + 1)).isTrue();
            assertThat(value.isFresh(60_000, mPauses, LIMIT_NANOS + 1)).isFalse();
            Fact<String> confirmed = value.confirm("a", 1, LIMIT_NANOS + 2);
            assertThat(confirmed.isFresh(60_000, mPauses, LIMIT_NANOS + 3)).isTrue();
        }

        @Test
        void valueIsNotFreshBeforeTheFirstTickAfterThePause() {
            Fact<String> value = new Fact<>("a", 1, 0);
            assertThat(value.isFresh(60_000, mPauses, LIMIT_NANOS + 1)).isFalse();
        }

        @Test
        void valueOlderThanTheMaximumAgeIsNotFresh() {
            Fact<String> value = new Fact<>("a", 1, 0);
            mPauses.tick(LIMIT_NANOS);
            assertThat(value.isFresh(PauseDetector.PAUSE_LIMIT_MILLIS, mPauses, LIMIT_NANOS + 1))
                    .isFalse();
        }
    }
}
