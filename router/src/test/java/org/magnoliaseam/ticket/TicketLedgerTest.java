package org.magnoliaseam.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;

/** Tests that a request with a ticket runs at most once. */
class TicketLedgerTest {

    private static final long TTL_MILLIS = 20_000;
    private static final LedgerLimits LIMITS = new LedgerLimits(50, 100, 150, 10_000);
    private static final VmId VM = new VmId("entry-1");
    private static final ClientAccountId ACCOUNT = new ClientAccountId("school");
    private static final RequestClassId CLASS = new RequestClassId("enrolment");
    private static final RequestHash HASH = RequestHash.of("POST", "/services/seats", new byte[1]);
    private static final RequestHash OTHER_HASH =
            RequestHash.of("POST", "/services/seats", new byte[2]);

    private final TicketLedger mLedger = new TicketLedger(VM, new Incarnation(1), LIMITS);

    private Ticket issue(long nowMillis) {
        return ((Result.Ok<Ticket, Refusal>) mLedger.issue(ACCOUNT, CLASS, TTL_MILLIS, nowMillis))
                .value();
    }

    private TicketClaim claim(Ticket ticket, long nowMillis) {
        return mLedger.claim(ticket, ACCOUNT, CLASS, HASH, nowMillis);
    }

    private static StoredAnswer answer(int bytes) {
        return new StoredAnswer(new AnswerHead(200, List.of()), new byte[bytes]);
    }

    /** Tests repeated use. */
    @Nested
    class UsedAgain {
        @Test
        void isInProgressThenReplayed() {
            Ticket ticket = issue(0);
            assertThat(claim(ticket, 1)).isEqualTo(new TicketClaim.Run());
            assertThat(claim(ticket, 2)).isEqualTo(new TicketClaim.InProgress());
            StoredAnswer answer = answer(10);
            mLedger.complete(ticket, answer, 3);
            assertThat(claim(ticket, 4)).isEqualTo(new TicketClaim.Replay(answer));
        }

        @Test
        void staysRefusedAfterRefusal() {
            Ticket ticket = issue(0);
            claim(ticket, 1);
            Refusal refusal = Refusal.of(ErrorKind.OUTCOME_UNKNOWN);
            mLedger.completeRefused(ticket, refusal, 2);
            mLedger.complete(ticket, answer(1), 3);
            assertThat(claim(ticket, 4)).isEqualTo(new TicketClaim.Refused(refusal));
        }

        @Test
        void isRefusedWhenAnswerWasTooLarge() {
            for (int bytes : new int[] {101, 100, 100}) {
                Ticket ticket = issue(0);
                claim(ticket, 1);
                mLedger.complete(ticket, answer(bytes), 2);
                if (bytes == 101) {
                    assertThat(claim(ticket, 3)).isInstanceOf(TicketClaim.Refused.class);
                }
            }
            Ticket last = issue(3);
            claim(last, 3);
            mLedger.complete(last, answer(51), 3);
            assertThat(claim(last, 4)).isInstanceOf(TicketClaim.Refused.class);
        }

        @Test
        void runsOnceAmongManyThreads() throws Exception {
            ExecutorService threads = Executors.newFixedThreadPool(8);
            try {
                for (int round = 0; round < 40; round++) {
                    Ticket ticket = issue(0);
                    List<Callable<TicketClaim>> claims = new ArrayList<>();
                    for (int i = 0; i < 32; i++) {
                        claims.add(() -> claim(ticket, 1));
                    }
                    int runs = 0;
                    for (Future<TicketClaim> claim : threads.invokeAll(claims)) {
                        runs += claim.get() instanceof TicketClaim.Run ? 1 : 0;
                    }
                    assertThat(runs).isEqualTo(1);
                }
            } finally {
                threads.shutdownNow();
            }
        }
    }

    /** Tests use with another account, class, content or process, and forged tickets. */
    @Nested
    class Misused {
        @Test
        void otherAccountClassOrContentIsMismatch() {
            Ticket ticket = issue(0);
            assertThat(mLedger.claim(ticket, new ClientAccountId("x"), CLASS, HASH, 1))
                    .isEqualTo(new TicketClaim.Mismatch());
            assertThat(mLedger.claim(ticket, ACCOUNT, new RequestClassId("x"), HASH, 1))
                    .isEqualTo(new TicketClaim.Mismatch());
            assertThat(claim(ticket, 1)).isEqualTo(new TicketClaim.Run());
            assertThat(mLedger.claim(ticket, ACCOUNT, CLASS, OTHER_HASH, 1))
                    .isEqualTo(new TicketClaim.Mismatch());
        }

        @Test
        void otherRunOfTheSameVmIsNotHome() {
            Ticket ticket = issue(0);
            TicketLedger restarted = new TicketLedger(VM, new Incarnation(2), LIMITS);
            assertThat(restarted.claim(ticket, ACCOUNT, CLASS, HASH, 1))
                    .isEqualTo(new TicketClaim.NotHome(VM, new Incarnation(1)));
        }

        @Test
        void ticketForgedWithTheSiteSecretNeverRuns() {
            Ticket issued = issue(0);
            Ticket later = new Ticket(VM, new Incarnation(1), 1, 5_000, TTL_MILLIS, ACCOUNT, CLASS);
            Ticket unknown = new Ticket(VM, new Incarnation(1), 9, 0, TTL_MILLIS, ACCOUNT, CLASS);
            assertThat(issued.sequence()).isEqualTo(1);
            assertThat(claim(later, 1)).isEqualTo(new TicketClaim.Mismatch());
            assertThat(claim(unknown, 1)).isEqualTo(new TicketClaim.Expired());
        }
    }

    /** Tests expiry and the memory limits. */
    @Nested
    class Expiry {
        @Test
        void ticketReportedUnusedCanNeverBeUsed() {
            Ticket ticket = issue(0);
            assertThat(claim(ticket, TTL_MILLIS + 1)).isEqualTo(new TicketClaim.ExpiredUnused());
            assertThat(claim(ticket, 1)).isEqualTo(new TicketClaim.ExpiredUnused());
        }

        @Test
        void evictedTicketIsExpired() {
            Ticket ticket = issue(0);
            mLedger.evict(TTL_MILLIS + LIMITS.retentionMillis() + 1);
            assertThat(mLedger.size()).isZero();
            assertThat(claim(ticket, 1)).isEqualTo(new TicketClaim.Expired());
        }

        @Test
        void runningRequestIsNotEvictedAndKeepsTheProcessRunning() {
            Ticket ticket = issue(0);
            claim(ticket, 1);
            mLedger.leave();
            mLedger.evict(1_000_000);
            assertThat(claim(ticket, 1_000_000)).isEqualTo(new TicketClaim.InProgress());
            assertThat(mLedger.allExpired(1_000_000)).isFalse();
            mLedger.complete(ticket, answer(1), 1_000_000);
            assertThat(mLedger.allExpired(1_000_000)).isTrue();
            assertThat(claim(ticket, 1_000_001)).isInstanceOf(TicketClaim.Replay.class);
        }

        @Test
        void issuesNothingWhenFullOrShuttingDown() {
            for (int i = 0; i < LIMITS.maxTickets(); i++) {
                issue(0);
            }
            assertThat(mLedger.issue(ACCOUNT, CLASS, TTL_MILLIS, 0)).isInstanceOf(Result.Err.class);
            mLedger.evict(TTL_MILLIS + LIMITS.retentionMillis() + 1);
            issue(0);
            mLedger.leave();
            assertThat(mLedger.issue(ACCOUNT, CLASS, TTL_MILLIS, 0))
                    .isEqualTo(Result.err(Refusal.of(ErrorKind.LEAVING)));
        }
    }

    /**
     * Checks over random interleavings, with callers that use a time read up to 40 seconds earlier,
     * that no ticket permits two runs, and none after it was reported as unused.
     *
     * @param seed the seed of the interleaving
     */
    @Property(seed = "20261204", tries = 300)
    void runsAtMostOnceInAnyInterleaving(@ForAll long seed) {
        TicketLedger ledger = new TicketLedger(VM, new Incarnation(1), LIMITS);
        Random random = new Random(seed);
        List<Ticket> tickets = new ArrayList<>();
        Set<Ticket> runs = new HashSet<>();
        Set<Ticket> unused = new HashSet<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextInt(800);
            if (tickets.isEmpty() || random.nextInt(6) == 0) {
                ledger.issue(ACCOUNT, CLASS, TTL_MILLIS, now)
                        .fold(ticket -> tickets.add(ticket), refusal -> false);
                continue;
            }
            Ticket ticket = tickets.get(random.nextInt(tickets.size()));
            long readMillis = Math.max(0, now - random.nextInt(40_000));
            switch (random.nextInt(5)) {
                case 0 -> ledger.evict(now);
                case 1 -> ledger.complete(ticket, answer(random.nextInt(120)), now);
                case 2 -> ledger.completeRefused(ticket, Refusal.of(ErrorKind.OVERLOADED), now);
                default -> {
                    RequestHash hash = random.nextInt(4) == 0 ? OTHER_HASH : HASH;
                    TicketClaim claim = ledger.claim(ticket, ACCOUNT, CLASS, hash, readMillis);
                    if (claim instanceof TicketClaim.Run) {
                        assertThat(runs.add(ticket)).isTrue();
                        assertThat(unused).doesNotContain(ticket);
                    } else if (claim instanceof TicketClaim.ExpiredUnused) {
                        assertThat(runs).doesNotContain(ticket);
                        unused.add(ticket);
                    }
                }
            }
        }
    }
}
