package org.magnoliaseam.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the targets that requests have to leave room for. */
class UrgentTargetsTest {

    private static final long SECOND = 1_000_000_000L;

    private final UrgentTargets mTargets = new UrgentTargets();

    @Test
    void requestLeavesRoomForMoreUrgentOnes() {
        mTargets.arrived(0, 300, 0);
        assertThat(mTargets.strictest(2, 1500, SECOND)).isEqualTo(300);
    }

    @Test
    void requestLeavesNoRoomForLessUrgentOnes() {
        mTargets.arrived(2, 100, 0);
        assertThat(mTargets.strictest(0, 1500, SECOND)).isEqualTo(1500);
        assertThat(mTargets.strictest(2, 1500, SECOND)).isEqualTo(1500);
    }

    @Test
    void ownTargetIsNeverExceeded() {
        mTargets.arrived(0, 900, 0);
        assertThat(mTargets.strictest(2, 400, SECOND)).isEqualTo(400);
    }

    @Test
    void priorityWithoutRecentRequestsNoLongerCounts() {
        mTargets.arrived(0, 300, 0);
        assertThat(mTargets.strictest(2, 1500, 11 * SECOND)).isEqualTo(1500);
    }

    @Test
    void laxerTargetReplacesAnExpiredOne() {
        mTargets.arrived(0, 300, 0);
        mTargets.arrived(0, 700, 11 * SECOND);
        assertThat(mTargets.strictest(2, 1500, 12 * SECOND)).isEqualTo(700);
    }
}
