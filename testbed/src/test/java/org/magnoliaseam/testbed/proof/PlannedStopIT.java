package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that entry VMs stop one by one under load without cut-off or refused streams. */
class PlannedStopIT {

    private static final String KEY = SiteSpec.KEYS.get(0);
    private static final String BALANCER_GRACE = "1500 ms";
    private static final long BALANCER_POLL_MILLIS = 800;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(20);

    private static TestSite sSite;

    @BeforeAll
    static void start() {
        sSite =
                TestSite.start(
                        new SiteSpec()
                                .withEntryVms(3)
                                .withBalancerGrace(BALANCER_GRACE)
                                .withRouting("ticket-ttl = \"3 s\""));
        Waits.warm(sSite);
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    @Test
    void entryVmsStopOneAfterAnotherWithoutCutOrRefusal() {
        try (BackgroundLoad load =
                new BackgroundLoad(sSite, 8, "question", 60, BALANCER_POLL_MILLIS)) {
            Waits.sleep(1_000);
            for (int i = 0; i < sSite.entries().size(); i++) {
                stopAndReplace(i, load);
            }
            Waits.sleep(1_000);
            load.close();
            System.out.printf("PlannedStopIT: whole streams %d%n", load.whole());
            assertThat(load.failures()).isEmpty();
            assertThat(load.whole()).isPositive();
        }
    }

    private static void stopAndReplace(int index, BackgroundLoad load) {
        EntryVm entry = sSite.entry(index);
        EntryVm other = sSite.entry((index + 1) % sSite.entries().size());
        String direct = ticket(entry);
        String forwarded = ticket(entry);
        long startNanos = System.nanoTime();
        entry.process().send(Signal.TERM);
        Waits.await("unready", 1_500, () -> !Balancer.ready(entry));
        assertRunsOnce(entry, "straight-" + index, direct);
        assertRunsOnce(other, "forwarded-" + index, forwarded);
        assertThat(entry.process().awaitExit(STOP_LIMIT)).isZero();
        System.out.printf(
                "PlannedStopIT: %s ended after %d ms, whole streams so far %d%n",
                entry.name(), (System.nanoTime() - startNanos) / 1_000_000, load.whole());
        entry.start();
        entry.awaitReady();
    }

    private static String ticket(EntryVm entry) {
        CallerAnswer answer = sSite.client().ticket(entry.callers(), KEY, "release");
        assertThat(answer.status()).isEqualTo(201);
        return answer.json().path("ticket").asText();
    }

    private static void assertRunsOnce(EntryVm entry, String order, String ticket) {
        String body = "{\"key\":\"%s\"}".formatted(order);
        ServiceCall call = ServiceCall.post(KEY, "/services/ledger/releases", body).with(ticket);
        CallerAnswer answer = sSite.client().service(entry.callers(), call);
        assertThat(answer.status()).as("%s: %s", order, answer.body()).isEqualTo(200);
        assertThat(sSite.ledgers().get(0).runs(order)).isEqualTo(1);
    }
}
