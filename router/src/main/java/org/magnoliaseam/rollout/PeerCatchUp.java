package org.magnoliaseam.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.magnoliaseam.model.VmId;

/**
 * Decides when to request the configuration from which peer, and whether the process may serve with
 * the configuration that it has. Not thread-safe.
 */
public final class PeerCatchUp {

    /**
     * The maximum time after the start for which a process waits for a heartbeat from every peer,
     * in milliseconds.
     */
    public static final long START_WAIT_MILLIS = 2000;

    /** The time after which the version that a peer reported is discarded, in milliseconds. */
    public static final long CLAIM_TTL_MILLIS = 30_000;

    /** The time after which a request to a peer counts as failed, in milliseconds. */
    public static final long REQUEST_TIMEOUT_MILLIS = 1000;

    /** The maximum random delay before a request to a peer, in milliseconds. */
    public static final long JITTER_MILLIS = 200;

    /**
     * The maximum time after the start for which a process waits for a heartbeat from every peer,
     * in nanoseconds.
     */
    private static final long START_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(START_WAIT_MILLIS);

    /** The time after which the version that a peer reported is discarded, in nanoseconds. */
    private static final long CLAIM_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(CLAIM_TTL_MILLIS);

    /** The time after which a request to a peer counts as failed, in nanoseconds. */
    private static final long REQUEST_TIMEOUT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MILLIS);

    /** The maximum random delay before a request to a peer, in nanoseconds. */
    private static final long JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(JITTER_MILLIS);

    /**
     * Holds the version that a peer reported.
     *
     * @param version the version
     * @param heardNanos the local monotonic time of its heartbeat
     */
    private record ReportedVersion(long version, long heardNanos) {}

    /** The configuration in force. */
    private final ConfigurationRollout mRollout;

    /** Provides the random delays and the random choice of a peer. */
    private final RandomGenerator mRandom;

    /** The local monotonic time at which the process started. */
    private final long mStartNanos;

    /** The version that each peer reported last. */
    private final Map<VmId, ReportedVersion> mReportedVersions = new HashMap<>();

    /** The local monotonic time before which no request is sent. */
    private long mNextRequestNanos;

    /** Whether a request is scheduled or in progress. */
    private boolean mRequested;

    /**
     * Creates an instance without any reports from peers.
     *
     * @param rollout the configuration in force
     * @param random provides the random delays and the random choice of a peer
     * @param startNanos the local monotonic time at which the process started
     */
    public PeerCatchUp(ConfigurationRollout rollout, RandomGenerator random, long startNanos) {
        mRollout = rollout;
        mRandom = random;
        mStartNanos = startNanos;
    }

    /**
     * Records the version that a peer reports in a heartbeat.
     *
     * @param peer the peer
     * @param version the version in force at the peer; 0 if none
     * @param nowNanos the local monotonic time
     */
    public void heard(VmId peer, long version, long nowNanos) {
        mReportedVersions.put(peer, new ReportedVersion(version, nowNanos));
    }

    /** Records that a peer has answered, so that the next request need not wait for the timeout. */
    public void answered() {
        mRequested = false;
    }

    /**
     * Decides whether to send a request to a peer now; called every few tens of milliseconds. At
     * most one request is in progress. The peer is chosen at random among those with the highest
     * version.
     *
     * @param nowNanos the local monotonic time
     * @return the request to send, or empty
     */
    public Optional<PeerRequest> next(long nowNanos) {
        long highest = highestReportedVersion(nowNanos);
        if (highest <= mRollout.version()) {
            mRequested = false;
            return Optional.empty();
        }
        if (!mRequested) {
            mRequested = true;
            mNextRequestNanos = nowNanos + mRandom.nextLong(JITTER_NANOS);
        }
        if (nowNanos - mNextRequestNanos < 0) {
            return Optional.empty();
        }
        mNextRequestNanos = nowNanos + REQUEST_TIMEOUT_NANOS + mRandom.nextLong(JITTER_NANOS);
        List<VmId> holders =
                mReportedVersions.entrySet().stream()
                        .filter(entry -> entry.getValue().version() == highest)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        VmId peer = holders.get(mRandom.nextInt(holders.size()));
        return Optional.of(new PeerRequest(peer, mRollout.version()));
    }

    /**
     * Decides whether the process may serve. A process that has once been ready continues with the
     * last valid configuration; callers ask only until the first time that the process is ready.
     *
     * @param expected the peers to wait for: those in the settings and those in the VM list
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public Readiness readiness(Collection<VmId> expected, long nowNanos) {
        if (mRollout.inForce().isEmpty()) {
            return new Readiness(
                    false, "neither the platform nor a peer has given a configuration");
        }
        if (highestReportedVersion(nowNanos) > mRollout.version()) {
            return new Readiness(false, "a peer has a newer configuration");
        }
        if (nowNanos - mStartNanos < START_WAIT_NANOS
                && !mReportedVersions.keySet().containsAll(expected)) {
            return new Readiness(false, "waits to hear from every peer");
        }
        return new Readiness(true, "configuration in force");
    }

    /**
     * Returns the highest version that a peer has reported recently and that was not rejected here.
     *
     * @param nowNanos the local monotonic time
     * @return the version; 0 if there is none
     */
    private long highestReportedVersion(long nowNanos) {
        mReportedVersions
                .values()
                .removeIf(reported -> nowNanos - reported.heardNanos() > CLAIM_TTL_NANOS);
        return mReportedVersions.values().stream()
                .mapToLong(ReportedVersion::version)
                .filter(version -> !mRollout.isKnownInvalid(version))
                .max()
                .orElse(0);
    }
}
