package org.magnoliaseam.route;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.rollout.ConfigurationRollout;
import org.magnoliaseam.rollout.OfferResult;
import org.magnoliaseam.rollout.PeerCatchUp;
import org.magnoliaseam.rollout.PeerRequest;
import org.magnoliaseam.rollout.Readiness;
import org.magnoliaseam.settings.ConfigurationLoader;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the configuration in force and logs whether each offered configuration was accepted.
 * Thread-safe.
 */
public final class ConfigurationHolder {

    /** The log. */
    private static final Logger LOG = LogManager.getLogger("configuration");

    /** Decides which version is in force. */
    private final ConfigurationRollout mRollout;

    /** Decides when to request a configuration from which peer. */
    private final PeerCatchUp mCatchUp;

    /** Receives each configuration that comes into force. */
    private final Consumer<VersionedConfiguration> mListener;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The configuration in force; null before the first. */
    private volatile VersionedConfiguration mInForce;

    /** Whether the process has ever been ready. */
    private boolean mEverReady;

    /**
     * Creates a holder without a configuration.
     *
     * @param loader validates source texts
     * @param random adds jitter to the requests to peers
     * @param clock the clock
     * @param listener receives each configuration that comes into force
     */
    public ConfigurationHolder(
            ConfigurationLoader loader,
            RandomGenerator random,
            MonotonicClock clock,
            Consumer<VersionedConfiguration> listener) {
        mRollout = new ConfigurationRollout(loader);
        mCatchUp = new PeerCatchUp(mRollout, random, clock.nanos());
        mClock = clock;
        mListener = listener;
    }

    /**
     * Handles a source text from the platform or a peer.
     *
     * @param text the source text with its version
     * @param source the sender, for the log
     */
    public synchronized void offer(ConfigurationText text, String source) {
        OfferResult offer = mRollout.offer(text);
        if (offer instanceof OfferResult.Accepted accepted) {
            mInForce = accepted.configuration();
            LOG.info(
                    "configuration: in force, version={} digest={} source={}",
                    text.version(),
                    mInForce.configuration().digest(),
                    source);
            mListener.accept(mInForce);
        } else if (offer instanceof OfferResult.Invalid invalid) {
            for (Fault fault : invalid.faults()) {
                LOG.error("configuration: refused, version={} {}", text.version(), fault.text());
            }
        } else if (offer instanceof OfferResult.Conflict conflict) {
            LOG.error(
                    "configuration: two texts have version {}, in force={} offered={}",
                    conflict.version(),
                    conflict.inForceDigest(),
                    conflict.offeredDigest());
        } else if (offer instanceof OfferResult.Older older) {
            LOG.warn(
                    "configuration: older version ignored, version={} in force={} source={}",
                    text.version(),
                    older.inForce(),
                    source);
        }
    }

    /**
     * Records the configuration version that a peer reports.
     *
     * @param peer the peer
     * @param version the version in force at the peer
     */
    public synchronized void recordPeerVersion(VmId peer, long version) {
        mCatchUp.heard(peer, version, mClock.nanos());
    }

    /** Records that a peer has answered a request. */
    public synchronized void peerAnswered() {
        mCatchUp.answered();
    }

    /**
     * Decides whether to request a configuration from a peer now; called every few tens of
     * milliseconds.
     *
     * @return the request to send, or empty
     */
    public synchronized Optional<PeerRequest> nextRequest() {
        return mCatchUp.next(mClock.nanos());
    }

    /**
     * Decides whether this process has a configuration to serve with. Once ready, it stays ready.
     *
     * @param expected the peers that should report their versions first
     * @return the decision
     */
    public synchronized Readiness readiness(Collection<VmId> expected) {
        if (mEverReady) {
            return new Readiness(true, "configuration in force");
        }
        Readiness readiness = mCatchUp.readiness(expected, mClock.nanos());
        mEverReady = readiness.ready();
        return readiness;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first
     */
    public Optional<VersionedConfiguration> inForce() {
        return Optional.ofNullable(mInForce);
    }

    /**
     * Returns the version in force.
     *
     * @return the version; 0 before the first
     */
    public long version() {
        VersionedConfiguration inForce = mInForce;
        return inForce == null ? 0 : inForce.version();
    }

    /**
     * Returns the highest version that was read, valid or not.
     *
     * @return the version; a watch needs to read only newer ones
     */
    public synchronized long highestSeen() {
        return mRollout.highestSeenVersion();
    }
}
