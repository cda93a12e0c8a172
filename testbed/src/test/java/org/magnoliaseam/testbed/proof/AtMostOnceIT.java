package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that an order under a ticket runs at most once, as the ledger counts it. */
class AtMostOnceIT {

    /** The number of seeds; each seed rotates the roles of the entry VMs. */
    private static final int SEEDS = Integer.getInteger("proof.seeds", 1);

    private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(7);

    private static final List<TicketTrial> TRIALS = new ArrayList<>();

    private static TestSite sSite;
    private static CountedLedger sLedger;

    @BeforeAll
    static void start() {
        sSite = TestSite.start(new SiteSpec().withEntryVms(3).withEngines(1).withProxies());
        sLedger = new CountedLedger(sSite.ledgers().get(0));
    }

    @AfterAll
    static void stop() {
        try {
            TRIALS.forEach(trial -> trial.verify(0));
        } finally {
            sSite.close();
        }
    }

    @BeforeEach
    void awaitServing() {
        TicketTrial.awaitServing(sSite);
    }

    static Stream<Arguments> faults() {
        return IntStream.rangeClosed(1, SEEDS)
                .boxed()
                .flatMap(seed -> Stream.of(TicketFault.values()).map(f -> Arguments.of(f, seed)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void orderRunsAtMostOnce(TicketFault fault, int seed) {
        TicketTrial trial = new TicketTrial(sSite, sLedger, fault + "-" + seed, seed);
        trial.issue();
        fault.inject(trial);
        trial.recover();
        trial.verify(fault.minRuns());
        TRIALS.add(trial);
    }

    /** Tests that invalid tickets are refused and their orders do not run. */
    @Nested
    class Refusals {

        private CallerAnswer send(int entry, ServiceCall call) {
            return sSite.client().service(sSite.entry(entry).callers(), call);
        }

        private void assertRefused(CallerAnswer answer, String kind, String key) {
            assertThat(answer.errorKind()).as(answer.body()).isEqualTo(kind);
            assertThat(sLedger.runs(key)).isZero();
        }

        @Test
        void alteredTicketIsRefused() {
            String ticket = TicketTrial.ticket(sSite, sSite.entry(0));
            for (int i = 0; i < ticket.length(); i += 5) {
                char other = ticket.charAt(i) == 'A' ? 'B' : 'A';
                String altered = ticket.substring(0, i) + other + ticket.substring(i + 1);
                ServiceCall call = TicketTrial.order("altered").with(altered);
                assertRefused(send(i % 3, call), "ticket_forged", "altered");
            }
        }

        @Test
        void inventedTicketIsRefused() {
            ServiceCall call = TicketTrial.order("invented").with("bm90IGEgdGlja2V0");
            assertRefused(send(1, call), "ticket_forged", "invented");
        }

        @Test
        void ticketOfAnotherAccountIsRefused() {
            ServiceCall call =
                    TicketTrial.order("stolen").with(TicketTrial.ticket(sSite, sSite.entry(0)));
            ServiceCall stolen =
                    new ServiceCall(
                            SiteSpec.KEYS.get(1),
                            call.method(),
                            call.path(),
                            call.body(),
                            call.ticket());
            assertRefused(send(0, stolen), "ticket_mismatch", "stolen");
            assertRefused(send(1, stolen), "ticket_mismatch", "stolen");
        }

        @Test
        void usedTicketIsRefusedForAnotherBody() {
            String ticket = TicketTrial.ticket(sSite, sSite.entry(0));
            assertThat(send(1, TicketTrial.order("body-one").with(ticket)).status()).isEqualTo(200);
            ServiceCall second = TicketTrial.order("body-two").with(ticket);
            assertRefused(send(0, second), "ticket_mismatch", "body-two");
            assertRefused(send(2, second), "ticket_mismatch", "body-two");
            assertThat(sLedger.runs("body-one")).isEqualTo(1);
        }

        @Test
        void expiredTicketIsRefused() {
            publishTicketTtl("1 s", 1);
            ServiceCall unused =
                    TicketTrial.order("unused").with(TicketTrial.ticket(sSite, sSite.entry(0)));
            ServiceCall used =
                    TicketTrial.order("used").with(TicketTrial.ticket(sSite, sSite.entry(0)));
            assertThat(send(1, used).status()).isEqualTo(200);
            await().pollDelay(Duration.ofMillis(1_200)).until(() -> true);
            for (int i = 0; i < 3; i++) {
                CallerAnswer answer = send(i, unused);
                assertThat(answer.errorKind()).startsWith("ticket_expired");
                CallerAnswer again = send(i, used);
                assertThat(again.body()).doesNotContain("\"executed\":\"no\"");
            }
            assertThat(sLedger.runs("unused")).isZero();
            assertThat(sLedger.runs("used")).isEqualTo(1);
            publishTicketTtl("20 s", 20);
        }

        private void publishTicketTtl(String duration, int seconds) {
            sSite.publishOverlay("[routing]\nticket-ttl = \"%s\"\n".formatted(duration));
            await().atMost(CONFIGURATION_TIMEOUT).until(() -> ttlSeconds() == seconds);
        }

        private int ttlSeconds() {
            CallerAnswer answer =
                    sSite.client()
                            .ticket(sSite.entry(0).callers(), SiteSpec.KEYS.get(0), "release");
            return answer.json().path("expiresInSeconds").asInt();
        }
    }
}
