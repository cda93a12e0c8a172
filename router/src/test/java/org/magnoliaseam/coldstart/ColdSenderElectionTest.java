package org.magnoliaseam.coldstart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.FleetFixtures.list;
import static org.magnoliaseam.FleetFixtures.vm;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fact.PauseDetector;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.share.RendezvousRanking;

/** Tests interleavings in which two entry VMs could send to one cold server at the same time. */
class ColdSenderElectionTest {

    private static final long STEP_MILLIS = 100;

    /**
     * The VM indexes: the second-ranked VM for the server, the first-ranked one, and the witness.
     */
    private static final List<Integer> VM_INDEXES = vmIndexes();

    private static final int LOW = VM_INDEXES.get(0);
    private static final int HIGH = VM_INDEXES.get(1);
    private static final int WITNESS = VM_INDEXES.get(2);

    private final Node mLow = new Node(LOW);
    private final Node mHigh = new Node(HIGH);
    private final Node mWitness = new Node(WITNESS);
    private long mNowMillis;
    private boolean mHighToLowDown;
    private boolean mWitnessToLowDown;
    private boolean mLowFrozen;

    /** Ranks three VMs; the lowest-ranked one becomes the witness. */
    private static List<Integer> vmIndexes() {
        MemberList list = list(1, 0, 1, 2);
        List<Integer> ranked = new ArrayList<>();
        for (VmId vm : RendezvousRanking.subset(list, ColdFleetModel.SERVER)) {
            ranked.add(Integer.parseInt(vm.value().substring("entry-".length())));
        }
        return List.of(ranked.get(1), ranked.get(0), ranked.get(2));
    }

    /** One entry VM. */
    private static final class Node {
        final int mIndex;
        final PauseDetector mPauses = new PauseDetector(0);
        final ColdSenderElection mElection;
        final List<Runnable> mBuffered = new ArrayList<>();

        Node(int index) {
            mIndex = index;
            mElection = new ColdSenderElection(vm(index), mPauses);
        }
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    private boolean hasRight(Node node) {
        return node.mElection.right(ColdFleetModel.SERVER, nanos()).held();
    }

    private void update(Node node, long version, int... live) {
        node.mElection.update(list(version, live), nanos());
    }

    private void heartbeat(Node from, Node to, boolean linkDown) {
        long version = from.mElection.listVersion();
        Runnable arrival = () -> to.mElection.heard(vm(from.mIndex), version, nanos());
        if (to == mLow && mLowFrozen) {
            to.mBuffered.add(arrival);
        } else if (!linkDown) {
            arrival.run();
        }
    }

    /** Advances time and checks at each step that the senders do not both hold the right. */
    private void pass(long millis) {
        for (long end = mNowMillis + millis; mNowMillis < end; mNowMillis += STEP_MILLIS) {
            heartbeat(mHigh, mLow, mHighToLowDown);
            heartbeat(mWitness, mLow, mWitnessToLowDown);
            heartbeat(mWitness, mHigh, false);
            mHigh.mPauses.tick(nanos());
            mWitness.mPauses.tick(nanos());
            if (!mLowFrozen) {
                heartbeat(mLow, mHigh, false);
                heartbeat(mLow, mWitness, false);
                mLow.mPauses.tick(nanos());
                assertThat(hasRight(mLow) && hasRight(mHigh)).isFalse();
            }
        }
    }

    private void giveLowTheRight(int... live) {
        update(mLow, 1, live);
        update(mHigh, 1, live);
        update(mWitness, 1, live);
        pass(ColdSenderElection.TAKEOVER_WAIT_MILLIS + STEP_MILLIS);
        assertThat(hasRight(mLow)).isTrue();
    }

    private void assertHighTakesOver() {
        pass(2 * ColdSenderElection.TAKEOVER_WAIT_MILLIS);
        assertThat(hasRight(mHigh)).isTrue();
        assertThat(hasRight(mLow)).isFalse();
    }

    /** Tests a VM that still uses an old list. */
    @Nested
    class OldList {
        @Test
        void stopsAtOnceWhenAnyPeerReportsANewerList() {
            giveLowTheRight(LOW, WITNESS);
            update(mHigh, 2, HIGH, WITNESS);
            pass(STEP_MILLIS);
            assertThat(hasRight(mLow)).isFalse();
        }

        @Test
        void removedVmStopsWhenPeersWithTheNewerListAreUnreachable() {
            giveLowTheRight(LOW, WITNESS);
            mHighToLowDown = true;
            mWitnessToLowDown = true;
            update(mHigh, 2, HIGH, WITNESS);
            update(mWitness, 2, HIGH, WITNESS);
            assertHighTakesOver();
        }

        @Test
        void newSenderWaitsFromTheTimeTheWitnessAdoptsTheNewerList() {
            giveLowTheRight(LOW, WITNESS);
            mHighToLowDown = true;
            update(mHigh, 2, HIGH, WITNESS);
            pass(2 * ColdSenderElection.TAKEOVER_WAIT_MILLIS);
            assertThat(hasRight(mLow)).isTrue();
            mWitnessToLowDown = true;
            update(mWitness, 2, HIGH, WITNESS);
            assertHighTakesOver();
        }
    }

    /** Tests a VM that was frozen. */
    @Nested
    class Frozen {
        @Test
        void hasNoRightAfterResumingEvenWithBufferedHeartbeats() {
            giveLowTheRight(LOW, WITNESS);
            mLowFrozen = true;
            pass(1000);
            mHighToLowDown = true;
            mWitnessToLowDown = true;
            List<Runnable> buffered = List.copyOf(mLow.mBuffered);
            update(mHigh, 2, HIGH, WITNESS);
            update(mWitness, 2, HIGH, WITNESS);
            pass(2 * ColdSenderElection.TAKEOVER_WAIT_MILLIS);
            assertThat(hasRight(mHigh)).isTrue();
            assertThat(hasRight(mLow)).isFalse();
            buffered.forEach(Runnable::run);
            assertThat(hasRight(mLow)).isFalse();
            mLowFrozen = false;
            pass(ColdSenderElection.TAKEOVER_WAIT_MILLIS);
        }
    }

    /** Tests a VM that was frozen for less than the maximum age of a heartbeat. */
    @Nested
    class FrozenBriefly {
        @Test
        void waitsAgainWhetherOrNotItHasTicked() {
            giveLowTheRight(LOW, WITNESS);
            mLowFrozen = true;
            pass(PauseDetector.PAUSE_LIMIT_MILLIS + 2 * STEP_MILLIS);
            assertThat(hasRight(mLow)).isFalse();
            mLowFrozen = false;
            pass(STEP_MILLIS);
            assertThat(hasRight(mLow)).isFalse();
            pass(ColdSenderElection.TAKEOVER_WAIT_MILLIS);
            assertThat(hasRight(mLow)).isTrue();
        }
    }

    /** Tests a list with a single VM. */
    @Nested
    class Alone {
        @Test
        void hasTheRightAfterTheWait() {
            update(mLow, 1, LOW);
            assertThat(hasRight(mLow)).isFalse();
            pass(ColdSenderElection.TAKEOVER_WAIT_MILLIS);
            assertThat(hasRight(mLow)).isTrue();
        }
    }
}
