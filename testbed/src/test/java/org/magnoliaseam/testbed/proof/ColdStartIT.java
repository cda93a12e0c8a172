package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.BackendMember;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;
import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.LinkFaults;

/** Tests by the counts of cold engines that they never run more requests than their limit. */
class ColdStartIT {

    private static final int COLD_LIMIT = 2;
    private static final long FAULT_MILLIS = 4_000;
    private static final long WARM_MILLIS = 25_000;

    private static TestSite sSite;
    private static BackgroundLoad sLoad;

    @BeforeAll
    static void start() {
        SiteSpec spec = new SiteSpec().withEntryVms(4).withEngines(3).withProxies();
        sSite = TestSite.start(spec.withLimits(8, COLD_LIMIT));
        sLoad = new BackgroundLoad(sSite, 16, "review", 20, 100);
    }

    @AfterAll
    static void stop() {
        sLoad.close();
        System.out.printf("ColdStartIT: whole %d, failed %s%n", sLoad.whole(), sLoad.failures());
        sSite.close();
    }

    @Test
    void everythingStartsAtOnce() {
        awaitWarm("start of everything", 0);
    }

    @Test
    void engineRestartsUnderLoad() {
        awaitWarm("before the restart", 0);
        restart(0);
        awaitWarm("restart", 0);
    }

    @Test
    void everyEngineRestartsWhileTwoEntryVmsAreCut() {
        awaitWarm("before the cut", 1);
        LinkFaults cut = LinkFaults.both(Fault.BLACKHOLE);
        sSite.links().apply(List.of("entry-1"), List.of("entry-2"), cut);
        try {
            forEachEngine(ColdStartIT::restart);
            Waits.sleep(FAULT_MILLIS);
            forEachEngine(index -> assertColdLimitHeld("cut", index));
        } finally {
            sSite.links().heal();
        }
        awaitWarm("after the cut", 1);
        forEachEngine(index -> assertColdLimitHeld("after the cut", index));
    }

    @Test
    void engineRestartsWhileAnEntryVmIsFrozen() {
        awaitWarm("before the freeze", 2);
        sSite.entry(3).process().send(Signal.STOP);
        try {
            restart(2);
            Waits.sleep(FAULT_MILLIS);
            assertColdLimitHeld("frozen", 2);
        } finally {
            sSite.entry(3).process().send(Signal.CONT);
        }
        awaitWarm("after the freeze", 2);
    }

    private static void forEachEngine(IntConsumer action) {
        IntStream.range(0, sSite.engines().size()).forEach(action);
    }

    private static void restart(int index) {
        assertColdLimitHeld("before its restart", index);
        sSite.engine(index).restart();
    }

    private static void awaitWarm(String what, int index) {
        long took =
                Waits.await(
                        what + ": warm at every entry VM",
                        WARM_MILLIS,
                        () -> sSite.entries().stream().allMatch(Waits::warm));
        JsonNode counts = assertColdLimitHeld(what, index);
        assertThat(counts.path("completed").asInt()).as(what).isPositive();
        System.out.printf("ColdStartIT: %s: warm after %d ms, %s%n", what, took, counts);
    }

    private static JsonNode assertColdLimitHeld(String what, int index) {
        BackendMember engine = sSite.engine(index);
        JsonNode counts = engine.stats();
        assertThat(counts.path("maxRunningWhileCold").asInt())
                .as("%s: %s %s", what, engine.name(), counts)
                .isLessThanOrEqualTo(COLD_LIMIT);
        assertThat(counts.path("fallsOver").asInt()).as(what).isZero();
        return counts;
    }
}
