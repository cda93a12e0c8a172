package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests cold engines while entry VMs hold different VM lists or get no notice of the start. */
class ColdStartChangeIT {

    private static final int COLD_LIMIT = 2;
    private static final long LAG_MILLIS = 3_000;
    private static final long WARM_MILLIS = 25_000;
    private static final long EXPOSURE_MILLIS = 4_000;

    private static TestSite sSite;
    private static BackgroundLoad sLoad;

    @BeforeAll
    static void start() {
        SiteSpec spec = new SiteSpec().withEntryVms(4).withEngines(3).withProxies();
        sSite = TestSite.start(spec.withLimits(8, COLD_LIMIT).withVmListLag("3 s"));
        sLoad = new BackgroundLoad(sSite, 16, "review", 20, 100);
        awaitWarm();
    }

    @AfterAll
    static void stop() {
        sLoad.close();
        System.out.printf(
                "ColdStartChangeIT: whole %d, failed %s%n", sLoad.whole(), sLoad.failures());
        sSite.close();
    }

    @Test
    void engineRestartsWhileTheListLagsForOneEntryVm() {
        String lagging = sSite.links().between("entry-1", TestSite.PLATFORM).address().toString();
        sSite.platform().mode("lagging", LAG_MILLIS, lagging);
        try {
            sSite.setVmState(3, "leaving");
            sSite.engine(2).restart();
            Waits.sleep(LAG_MILLIS);
            assertColdLimitHeld(2);
            awaitWarm();
            assertColdLimitHeld(2);
        } finally {
            sSite.platform().mode("normal", 0, lagging);
        }
    }

    @Test
    void engineTurnsColdWithoutNoticeAndTheExposureIsPrinted() {
        JsonNode before = sSite.engine(0).stats();
        sSite.engine(0).control("{\"cold\":true,\"keepConnections\":true}");
        Waits.sleep(EXPOSURE_MILLIS);
        JsonNode after = sSite.engine(0).stats();
        System.out.printf(
                "ColdStartChangeIT: cold without notice: maxRunningWhileCold %d, "
                        + "millisAboveColdLimit %d, fallsOver %d%n",
                after.path("maxRunningWhileCold").asInt(),
                after.path("millisAboveColdLimit").asInt()
                        - before.path("millisAboveColdLimit").asInt(),
                after.path("fallsOver").asInt() - before.path("fallsOver").asInt());
        assertThat(after.path("starts").asInt()).isGreaterThan(before.path("starts").asInt());
    }

    private static void awaitWarm() {
        Waits.await(
                "warm at every entry VM that runs",
                WARM_MILLIS,
                () -> sSite.entries().stream().filter(Balancer::ready).allMatch(Waits::warm));
    }

    private static void assertColdLimitHeld(int index) {
        JsonNode counts = sSite.engine(index).stats();
        System.out.printf("ColdStartChangeIT: list lags: %s%n", counts);
        assertThat(counts.path("maxRunningWhileCold").asInt())
                .as("%s", counts)
                .isLessThanOrEqualTo(COLD_LIMIT);
        assertThat(counts.path("fallsOver").asInt()).isZero();
    }
}
