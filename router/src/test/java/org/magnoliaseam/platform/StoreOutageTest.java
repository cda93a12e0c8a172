package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.PublishedRevision;
import org.magnoliaseam.gateway.RetryLimits;
import org.magnoliaseam.gateway.ServerPool;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.StoreSettings;

/**
 * Tests that a configuration is in force within the stated time after an outage of the store,
 * whatever the router was doing when the outage ended. Many feeds run at once, each with a store
 * whose outage ends a little later than that of the one before.
 */
class StoreOutageTest {

    /** The stated time within which contact is restored and the configuration is in force. */
    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

    private static final long STEP_MILLIS = 50;

    /** The time before the outage, in milliseconds. */
    private static final long CALM_MILLIS = 300;

    /** The shortest outage, in milliseconds, after which several calls have failed. */
    private static final long OUTAGE_MILLIS = 9000;

    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    private final HttpClient mClient = new HttpClient();

    private final List<Trial> mTrials = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        mClient.start();
    }

    @AfterEach
    void stop() throws Exception {
        mTrials.forEach(Trial::stop);
        mThreads.shutdownNow();
        mClient.stop();
    }

    /** Runs one feed against one store that fails once. */
    private final class Trial {
        private final FaultyStore mStore;
        private final FaultyStore.Fault mFault;
        private final long mEndMillis;

        /** Whether the store fails before the feed starts. */
        private final boolean mFailsAtOnce;

        private final CurrentCatalog mCatalog = new CurrentCatalog(CONTACT_LIMIT, System::nanoTime);
        private final PlatformFeed mFeed;
        private long mAppliedMillis = -1;
        private boolean mEnded;

        Trial(FaultyStore.Fault fault, long endMillis, boolean failsAtOnce) throws Exception {
            mFault = fault;
            mEndMillis = endMillis;
            mFailsAtOnce = failsAtOnce;
            mStore = new FaultyStore(mThreads);
            if (failsAtOnce) {
                mStore.fail(fault);
            }
            ServerPool pool =
                    new ServerPool(
                            new FailureDomain("domain-1"),
                            () -> new RetryLimits(0, 0),
                            System::nanoTime);
            mFeed =
                    new PlatformFeed(
                            settings(mStore.address()),
                            mClient,
                            mCatalog,
                            pool.publishedServers(),
                            new PublishedRevision(),
                            System::nanoTime);
            mFeed.start();
        }

        private void stop() {
            mFeed.stop();
            mStore.stop();
        }

        private long version() {
            return mCatalog.catalog().map(Catalog::version).orElse(0L);
        }

        private void step(long nowMillis) {
            if (!mEnded && nowMillis >= mEndMillis) {
                mEnded = true;
                mStore.publish(2);
                mStore.recover();
            }
            if (mAppliedMillis < 0 && version() == 2) {
                mAppliedMillis = nowMillis;
            }
        }

        private long lateMillis() {
            return mAppliedMillis < 0 ? Long.MAX_VALUE : mAppliedMillis - mEndMillis;
        }

        @Override
        public String toString() {
            return mFault + " until " + mEndMillis + " ms, in force after " + lateMillis() + " ms";
        }
    }

    private static StoreSettings settings(InetSocketAddress store) {
        InetSocketAddress unused = InetSocketAddress.createUnresolved("127.0.0.1", 1);
        return new StoreSettings(
                new VmId("entry-1"),
                new FailureDomain("domain-1"),
                unused,
                unused,
                unused,
                unused,
                store,
                CONTACT_LIMIT,
                List.of(),
                0,
                0,
                Duration.ofSeconds(1),
                Duration.ZERO,
                Duration.ofMillis(1200));
    }

    private void add(FaultyStore.Fault fault, long firstEndMillis, long cycleMillis)
            throws Exception {
        add(fault, firstEndMillis, cycleMillis, false);
    }

    private void add(
            FaultyStore.Fault fault, long firstEndMillis, long cycleMillis, boolean failsAtOnce)
            throws Exception {
        for (long offset = 0; offset < cycleMillis; offset += STEP_MILLIS) {
            mTrials.add(new Trial(fault, firstEndMillis + offset, failsAtOnce));
        }
    }

    private void play() throws InterruptedException {
        await().atMost(Duration.ofSeconds(10))
                .until(
                        () ->
                                mTrials.stream()
                                        .allMatch(
                                                trial ->
                                                        trial.mFailsAtOnce
                                                                || trial.version() == 1));
        long start = System.nanoTime();
        boolean failing = false;
        long lastEnd = mTrials.stream().mapToLong(trial -> trial.mEndMillis).max().orElse(0);
        long now = 0;
        while (now < lastEnd + 2 * CONTACT_LIMIT.toMillis() && !allInForce()) {
            now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            if (!failing && now >= CALM_MILLIS) {
                failing = true;
                mTrials.stream()
                        .filter(trial -> !trial.mFailsAtOnce)
                        .forEach(trial -> trial.mStore.fail(trial.mFault));
            }
            for (Trial trial : mTrials) {
                trial.step(now);
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    private boolean allInForce() {
        return mTrials.stream().allMatch(trial -> trial.mAppliedMillis >= 0);
    }

    private void assertInForceInTime() {
        assertThat(mTrials)
                .filteredOn(trial -> trial.lateMillis() > CONTACT_LIMIT.toMillis())
                .isEmpty();
    }

    @Test
    void configurationIsInForceInTimeAfterSilence() throws Exception {
        add(FaultyStore.Fault.SILENT, CALM_MILLIS + OUTAGE_MILLIS, 3600);
        play();
        assertInForceInTime();
    }

    @Test
    void configurationIsInForceInTimeAfterRefusalsResetsAndSlowResponses() throws Exception {
        add(FaultyStore.Fault.BUSY, CALM_MILLIS + OUTAGE_MILLIS, 800);
        add(FaultyStore.Fault.LIMITED, CALM_MILLIS + OUTAGE_MILLIS, 800);
        add(FaultyStore.Fault.RESET, CALM_MILLIS + OUTAGE_MILLIS, 800);
        add(FaultyStore.Fault.SLOW, CALM_MILLIS + OUTAGE_MILLIS, 3600);
        play();
        assertInForceInTime();
    }

    @Test
    void configurationIsInForceInTimeIfTheFeedStartsDuringTheOutage() throws Exception {
        add(FaultyStore.Fault.SILENT, CALM_MILLIS + 2000, 1200, true);
        add(FaultyStore.Fault.BUSY, CALM_MILLIS + 2000, 1200, true);
        play();
        assertInForceInTime();
    }

    @Test
    void configurationIsInForceInTimeWhenOpenConnectionsFallSilent() throws Exception {
        add(FaultyStore.Fault.STALLED, CALM_MILLIS + STEP_MILLIS, 2600);
        play();
        assertInForceInTime();
    }
}
