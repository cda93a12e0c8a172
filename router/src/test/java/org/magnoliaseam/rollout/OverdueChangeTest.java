package org.magnoliaseam.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests when a change that a peer has counts as overdue. */
class OverdueChangeTest {

    private static final long MILLI = 1_000_000;

    private final OverdueChange mChange = new OverdueChange(Duration.ofSeconds(3), 0);

    private static Revision at(long number) {
        return new Revision(1, number);
    }

    @Test
    void changeThatIsAppliedInTimeIsNeverOverdue() {
        mChange.heard(at(8), at(7), 0);
        assertThat(mChange.nanosUntilOverdue(at(7), 100 * MILLI)).isEqualTo(150 * MILLI);
        assertThat(mChange.nanosUntilOverdue(at(8), 300 * MILLI)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void laterReportsDoNotPostponeAnOverdueChange() {
        mChange.heard(at(8), at(7), 0);
        mChange.heard(at(9), at(7), 200 * MILLI);
        assertThat(mChange.nanosUntilOverdue(at(7), 250 * MILLI)).isZero();
        assertThat(mChange.take(250 * MILLI)).isEqualTo(at(8));
    }

    @Test
    void knownRevisionIsNotExpected() {
        mChange.heard(at(7), at(7), 0);
        assertThat(mChange.nanosUntilOverdue(at(7), 300 * MILLI)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void stateOfALaterEraIsExpectedAlthoughItsNumberIsLower() {
        mChange.heard(new Revision(2, 5), at(7), 0);
        assertThat(mChange.nanosUntilOverdue(at(7), 250 * MILLI)).isZero();
    }

    @Test
    void revisionThatThePublisherNeverHadCausesFewCalls() {
        int calls = 0;
        for (long now = 0; now < 60_000; now += 10) {
            mChange.heard(at(1_000_000), at(7), now * MILLI);
            if (mChange.nanosUntilOverdue(at(7), now * MILLI) <= 0) {
                mChange.take(now * MILLI);
                calls++;
            }
        }
        assertThat(calls).isLessThanOrEqualTo(20);
    }
}
