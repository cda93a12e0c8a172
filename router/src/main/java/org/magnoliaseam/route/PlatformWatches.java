package org.magnoliaseam.route;

import java.net.URI;
import java.security.SecureRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;
import javax.inject.Inject;
import javax.inject.Named;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.publication.PlatformJson;
import org.magnoliaseam.publication.Watch;
import org.magnoliaseam.publication.WatchListener;
import org.magnoliaseam.rollout.PollSchedule;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.time.MonotonicClock;

/** Watches the configuration and the VM list of the platform. */
@Singleton
public final class PlatformWatches {

    /** The settings of the process. */
    private final LocalSettings mSettings;

    /** The HTTP client. */
    private final HttpClient mClient;

    /** The timers. */
    private final ScheduledExecutorService mTimers;

    /** Adds jitter, so that many processes do not read at the same time. */
    private final SecureRandom mRandom;

    /** The clock. */
    private final MonotonicClock mClock;

    /** The local view of the fleet. */
    private final FleetTracker mFleet;

    /** The watch of the configuration. */
    private final Watch mConfiguration;

    /** The watch of the VM list. */
    private final Watch mMembers;

    /**
     * Creates the watches.
     *
     * @param settings the settings of the process
     * @param client the HTTP client
     * @param timers the timers
     * @param random the source of the jitter
     * @param clock the clock
     * @param configuration the configuration in force
     * @param fleet the local view of the fleet
     */
    @Inject
    public PlatformWatches(
            LocalSettings settings,
            @Named("pooled") HttpClient client,
            ScheduledExecutorService timers,
            SecureRandom random,
            MonotonicClock clock,
            ConfigurationHolder configuration,
            FleetTracker fleet) {
        mSettings = settings;
        mClient = client;
        mTimers = timers;
        mRandom = random;
        mClock = clock;
        mFleet = fleet;
        mConfiguration =
                watch(
                        "configuration",
                        configuration::highestSeen,
                        body ->
                                PlatformJson.configuration(body)
                                        .ifPresent(text -> configuration.offer(text, "platform")));
        mMembers =
                watch(
                        "vms",
                        this::memberListVersion,
                        body -> PlatformJson.members(body).ifPresent(this::applyMembers));
    }

    /** Starts watching. */
    public void start() {
        mConfiguration.start();
        mMembers.start();
    }

    /** Stops watching. */
    public void stop() {
        mConfiguration.stop();
        mMembers.stop();
    }

    /** Reads the VM list sooner if a peer has reported a newer version. */
    public void followPeers() {
        long known = memberListVersion();
        boolean behind =
                mFleet.peers().stream()
                        .anyMatch(peer -> peer.summary().memberListVersion() > known);
        if (behind) {
            mMembers.hint();
        }
    }

    /**
     * Applies a list of entry VMs. If the list makes this process a watcher, the process reads the
     * configuration soon, because its next read was scheduled for a process that only polls.
     *
     * @param members the list
     */
    private void applyMembers(MemberList members) {
        mFleet.members(members);
        if (watcher()) {
            mConfiguration.hint();
        }
    }

    /**
     * Returns the version of the VM list in force.
     *
     * @return the version; 0 before the first
     */
    private long memberListVersion() {
        return mFleet.members().map(MemberList::version).orElse(0L);
    }

    /**
     * Creates a watch.
     *
     * @param value the name of the watched value
     * @param known returns the version already known
     * @param changed receives each newer value
     * @return the watch
     */
    private Watch watch(String value, LongSupplier known, WatchListener changed) {
        URI address = mSettings.platform().resolve("/v1/" + value + "?site=" + mSettings.site());
        return new Watch(
                mClient,
                address,
                known,
                changed,
                mTimers,
                new PollSchedule(mRandom, mClock.nanos()),
                this::watcher,
                mClock);
    }

    /**
     * Returns whether this process watches the platform rather than only polling it.
     *
     * @return true if it watches
     */
    private boolean watcher() {
        return mFleet.members()
                .map(list -> PollSchedule.isWatcher(list, mSettings.vm()))
                .orElse(false);
    }
}
