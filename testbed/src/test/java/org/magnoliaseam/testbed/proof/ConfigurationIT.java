package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that configuration takes effect within 7 s and no process reverts to an older one. */
class ConfigurationIT {

    private static final long CONFIGURATION_MILLIS = 7_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long OUTAGE_MILLIS = 10_000;
    private static final AtomicLong VERSION = new AtomicLong(1);

    private static TestSite sSite;
    private static VersionWatch sWatch;

    @BeforeAll
    static void start() {
        sSite = TestSite.start(new SiteSpec().withEntryVms(3).withEngines(1).withProxies());
        sWatch = new VersionWatch(sSite.entries());
    }

    @AfterAll
    static void stop() {
        sWatch.close();
        sSite.close();
    }

    @AfterEach
    void assertVersionsNeverDecreased() {
        modeForAll("normal");
        assertThat(sWatch.decreases()).isEmpty();
        assertThat(sWatch.processes()).isGreaterThanOrEqualTo(3);
    }

    @Test
    void twoOperatorsInARaceEndWithTheHighestVersionEverywhere() {
        CompletableFuture<Void> one = CompletableFuture.runAsync(() -> publishMany(20));
        CompletableFuture<Void> other = CompletableFuture.runAsync(() -> publishMany(20));
        CompletableFuture.allOf(one, other).join();
        // A lower version published last may replace the highest before any VM has read it.
        publish(VERSION.get(), 1_000 + VERSION.intValue());
        awaitInForceEverywhere("race", VERSION.get());
        long same = VERSION.incrementAndGet();
        CompletableFuture<Void> first = CompletableFuture.runAsync(() -> publish(same, 501));
        CompletableFuture<Void> second = CompletableFuture.runAsync(() -> publish(same, 502));
        CompletableFuture.allOf(first, second).join();
        awaitInForceEverywhere("same version twice", same);
        awaitInForceEverywhere("after the conflict", publishNext());
        assertThat(sSite.entries().stream().map(ConfigurationIT::digest).distinct()).hasSize(1);
    }

    @Test
    void olderVersionAfterANewerOneChangesNothingAlsoForAReplacedVm() {
        publishNext();
        long newest = publishNext();
        awaitInForceEverywhere("before the older one", newest);
        String digest = digest(sSite.entry(0));
        publish(newest - 1, 700);
        Waits.sleep(SETTLE_MILLIS);
        replace(sSite.entry(1));
        for (EntryVm entry : sSite.entries()) {
            assertThat(version(entry)).as(entry.name()).isEqualTo(newest);
            assertThat(digest(entry)).as(entry.name()).isEqualTo(digest);
        }
    }

    @Test
    void invalidVersionIsRefusedWithFileLineAndKey() {
        long good = publishNext();
        awaitInForceEverywhere("good version", good);
        long bad = VERSION.incrementAndGet();
        sSite.platform().publish(bad, sSite.base(), "[routing]\nqueue-limit = \"many\"\n");
        Waits.sleep(SETTLE_MILLIS);
        assertThat(sSite.entries().stream().map(ConfigurationIT::version)).containsOnly(good);
        assertThat(sSite.entries())
                .anySatisfy(
                        entry ->
                                assertThat(entry.process().output())
                                        .containsPattern("overlay\\S*:2.*queue-limit"));
        awaitInForceEverywhere("after the invalid one", publishNext());
    }

    /** The outage lasts long enough for several failed reads of each VM. */
    @Test
    void replacedVmGetsTheConfigurationFromPeersWhileThePlatformIsDown() {
        long version = publishNext();
        awaitInForceEverywhere("before the outage", version);
        modeForAll("down");
        EntryVm replaced = sSite.entry(2);
        replaced.process().kill();
        replaced.start();
        Waits.await("version of the peers", CONFIGURATION_MILLIS, () -> has(replaced, version));
        Waits.sleep(OUTAGE_MILLIS);
        modeForAll("normal");
        awaitInForceEverywhere("after the outage", publishNext());
        replaced.awaitReady();
    }

    @Test
    void peersCarryAVersionToVmsWithoutThePlatform() {
        mode(sSite.entry(0), "stale");
        mode(sSite.entry(1), "down");
        awaitInForceEverywhere("stale for one VM, down for another", publishNext());
    }

    private static void replace(EntryVm entry) {
        entry.process().kill();
        entry.start();
        entry.awaitReady();
    }

    private static void publishMany(int count) {
        for (int i = 0; i < count; i++) {
            publishNext();
        }
    }

    private static long publishNext() {
        long version = VERSION.incrementAndGet();
        publish(version, 1_000 + (int) version);
        return version;
    }

    private static void publish(long version, int queueLimit) {
        String overlay = "[routing]\nqueue-limit = %d\n".formatted(queueLimit);
        sSite.platform().publish(version, sSite.base(), overlay);
    }

    /** Sets the mode for each address because it takes precedence over the common mode. */
    private static void modeForAll(String mode) {
        sSite.entries().forEach(entry -> mode(entry, mode));
    }

    private static void mode(EntryVm entry, String mode) {
        String address =
                sSite.links().between(entry.name(), TestSite.PLATFORM).address().toString();
        sSite.platform().mode(mode, 0, address);
    }

    private static void awaitInForceEverywhere(String what, long version) {
        long took =
                Waits.await(
                        what,
                        CONFIGURATION_MILLIS,
                        () -> sSite.entries().stream().allMatch(e -> version(e) == version));
        System.out.printf("ConfigurationIT: %s: in force after %d ms%n", what, took);
    }

    private static boolean has(EntryVm entry, long version) {
        try {
            return version(entry) == version;
        } catch (IllegalStateException e) {
            return false; // The process does not listen yet.
        }
    }

    private static long version(EntryVm entry) {
        return entry.get("/status").path("configurationVersion").asLong();
    }

    private static String digest(EntryVm entry) {
        return entry.get("/status").path("configurationDigest").asText();
    }
}
