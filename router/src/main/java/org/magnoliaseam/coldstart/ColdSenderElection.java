package org.magnoliaseam.coldstart;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.fact.PauseDetector;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.share.RendezvousRanking;

/**
 * Decides whether this entry VM is the only one that may send to a server in cold start. The
 * first-ranked entry VM in the server's subset of the VM list may send while every other VM of that
 * subset has recently reported the same version of the list, and after a wait long enough for a
 * previous sender to stop. Not thread-safe.
 */
public final class ColdSenderElection {

    /** The maximum age of the last heartbeat of a peer, in milliseconds. */
    public static final long HEARD_LIMIT_MILLIS = 1500;

    /** The maximum expected delay of a heartbeat between entry VMs, in milliseconds. */
    public static final long PEER_DELAY_MILLIS = 500;

    /** The maximum expected delay of a request on its way to a server, in milliseconds. */
    public static final long SEND_DELAY_MILLIS = 500;

    /** The allowance for clocks that run at different rates, in milliseconds. */
    public static final long CLOCK_MARGIN_MILLIS = 100;

    /**
     * The wait before the first request to a cold server, in milliseconds: by its end a previous
     * sender has stopped, and its requests are included in the load report.
     */
    public static final long TAKEOVER_WAIT_MILLIS =
            HEARD_LIMIT_MILLIS
                    + PEER_DELAY_MILLIS
                    + PauseDetector.PAUSE_LIMIT_MILLIS
                    + SEND_DELAY_MILLIS
                    + PeerLoadBound.REPORT_LAG_MILLIS
                    + CLOCK_MARGIN_MILLIS;

    /** The maximum age of the last heartbeat of a peer, in nanoseconds. */
    private static final long HEARD_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(HEARD_LIMIT_MILLIS);

    /** The wait before the first request to a cold server, in nanoseconds. */
    private static final long TAKEOVER_WAIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(TAKEOVER_WAIT_MILLIS);

    /**
     * Records since when a peer has reported the version of the list that is in force here.
     *
     * @param sinceNanos the local monotonic time of the first heartbeat in an uninterrupted
     *     sequence
     * @param lastNanos the local monotonic time of the last heartbeat
     */
    private record Agreement(long sinceNanos, long lastNanos) {}

    /**
     * Identifies a ranking of the entry VMs for the list in force.
     *
     * @param server the backend server
     * @param region its region
     */
    private record RankingKey(BackendServerId server, Region region) {}

    /** This entry VM. */
    private final VmId mSelf;

    /** Detects pauses of this process. */
    private final PauseDetector mPauses;

    /** The agreement of each peer that reports the version in force here. */
    private final Map<VmId, Agreement> mAgreements = new HashMap<>();

    /** The rankings computed from the list in force. */
    private final Map<RankingKey, List<VmId>> mRankings = new HashMap<>();

    /** The list in force; null before the first. */
    private MemberList mList;

    /** The local monotonic time at which the list in force arrived. */
    private long mListNanos;

    /** The highest version that any peer has reported. */
    private long mHighestVersion;

    /**
     * Creates an election without a list.
     *
     * @param self this entry VM
     * @param pauses detects pauses of this process; ticked by the caller
     */
    public ColdSenderElection(VmId self, PauseDetector pauses) {
        mSelf = self;
        mPauses = pauses;
    }

    /**
     * Puts a list in force if it is newer than the current one; otherwise ignores it.
     *
     * @param list the list
     * @param nowNanos the local monotonic time
     */
    public void update(MemberList list, long nowNanos) {
        if (mList == null || list.version() > mList.version()) {
            mList = list;
            mListNanos = nowNanos;
            mAgreements.clear();
            mRankings.clear();
        }
    }

    /**
     * Returns the version to report to the peers.
     *
     * @return the version of the list in force; 0 before the first
     */
    public long listVersion() {
        return mList == null ? 0 : mList.version();
    }

    /**
     * Records the version of the list that a peer reports in a heartbeat.
     *
     * @param peer the peer, whether or not it is in the list
     * @param listVersion the version in force at the peer; 0 if none
     * @param receivedNanos the local monotonic time of arrival
     */
    public void heard(VmId peer, long listVersion, long receivedNanos) {
        mHighestVersion = Math.max(mHighestVersion, listVersion);
        if (mList == null || listVersion != mList.version()) {
            mAgreements.remove(peer);
            return;
        }
        Agreement agreement = mAgreements.get(peer);
        boolean uninterrupted =
                agreement != null && receivedNanos - agreement.lastNanos() <= HEARD_LIMIT_NANOS;
        long since = uninterrupted ? agreement.sinceNanos() : receivedNanos;
        mAgreements.put(peer, new Agreement(since, receivedNanos));
    }

    /**
     * Decides whether this entry VM may send to a server in cold start; called right before each
     * request is sent.
     *
     * @param server the backend server
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public ColdSendRight right(BackendServer server, long nowNanos) {
        if (mList == null) {
            return ColdSendRight.refused("no VM list yet");
        }
        if (mHighestVersion > mList.version()) {
            return ColdSendRight.refused("a peer has a newer VM list");
        }
        List<VmId> subset =
                mRankings.computeIfAbsent(
                        new RankingKey(server.id(), server.region()),
                        key -> RendezvousRanking.subset(mList, server));
        if (subset.isEmpty() || !subset.get(0).equals(mSelf)) {
            return ColdSendRight.refused("another entry VM sends to the cold server");
        }
        if (!mPauses.notPausedSince(mPauses.resumedNanos(), nowNanos)) {
            return ColdSendRight.refused("the process was paused");
        }
        long since = later(mListNanos, mPauses.resumedNanos());
        for (VmId peer : subset.subList(1, subset.size())) {
            Agreement agreement = mAgreements.get(peer);
            if (agreement == null || nowNanos - agreement.lastNanos() > HEARD_LIMIT_NANOS) {
                return ColdSendRight.refused("no recent agreement on the VM list with " + peer);
            }
            since = later(since, agreement.sinceNanos());
        }
        long heldNanos = since + TAKEOVER_WAIT_NANOS;
        if (nowNanos - heldNanos < 0) {
            return ColdSendRight.refused("waits until a former sender has stopped");
        }
        return new ColdSendRight(true, heldNanos, "first-ranked for the cold server");
    }

    /**
     * Returns the later of two times.
     *
     * @param first a local monotonic time
     * @param second another one
     * @return the later one
     */
    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}
