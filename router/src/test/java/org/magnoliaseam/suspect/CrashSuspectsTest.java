package org.magnoliaseam.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.SuspectNotice;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;

/** Tests the treatment of requests that crash backend servers. */
class CrashSuspectsTest {

    private static final long TTL_MILLIS = 600_000;
    private static final Fingerprint CRASHING = new Fingerprint("bad");
    private static final Fingerprint HARMLESS = new Fingerprint("good");

    private final CrashSuspects mSuspects = new CrashSuspects();

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private SuspectVerdict verdict(Fingerprint fingerprint, long nowMillis) {
        return mSuspects.verdict(fingerprint, TTL_MILLIS, millis(nowMillis));
    }

    private void heard(Fingerprint fingerprint, int crashes, long ageMillis, long nowMillis) {
        SuspectNotice notice = new SuspectNotice(fingerprint.value(), crashes, ageMillis);
        mSuspects.heard(List.of(notice), TTL_MILLIS, millis(nowMillis));
    }

    /** Tests a single entry VM. */
    @Nested
    class OneEntryVm {
        @Test
        void isRefusedAfterTheSecondCrashAndThenGuarded() {
            mSuspects.crashed(List.of(CRASHING, HARMLESS), 0);
            assertThat(verdict(CRASHING, 1)).isEqualTo(SuspectVerdict.GUARDED);
            mSuspects.completed(HARMLESS, millis(5));
            assertThat(verdict(HARMLESS, 6)).isEqualTo(SuspectVerdict.FREE);
            mSuspects.crashed(List.of(CRASHING), millis(10));
            assertThat(verdict(CRASHING, 10 + TTL_MILLIS)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(CRASHING, 11 + TTL_MILLIS)).isEqualTo(SuspectVerdict.GUARDED);
            assertThat(verdict(CRASHING, 11 + 2 * TTL_MILLIS)).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void memoryIsBounded() {
            for (int i = 0; i < 2 * CrashSuspects.MAX_SUSPECTS; i++) {
                mSuspects.crashed(List.of(new Fingerprint("f" + i)), 0);
            }
            assertThat(verdict(new Fingerprint("f0"), 0)).isEqualTo(SuspectVerdict.FREE);
            assertThat(mSuspects.notices(TTL_MILLIS, 0)).hasSize(CrashSuspects.MAX_NOTICES);
        }

        @Test
        void guardedRequestsAreIsolated() {
            BackendServerId first = new BackendServerId("engine-1");
            BackendServerId second = new BackendServerId("engine-2");
            SuspectPlacement placement = new SuspectPlacement();
            placement.started(CRASHING, first);
            assertThat(placement.excluded(HARMLESS, Set.of(first, second))).containsExactly(first);
            assertThat(placement.excluded(CRASHING, Set.of(first, second)))
                    .containsExactlyInAnyOrder(first, second);
            placement.ended(CRASHING, first);
            assertThat(placement.excluded(HARMLESS, Set.of(first, second))).isEmpty();
        }

        @Test
        void fingerprintDependsOnSecretAccountClassPathAndBody() {
            byte[] secret = "secret".getBytes(StandardCharsets.UTF_8);
            Set<Fingerprint> distinct =
                    Set.of(
                            fingerprint(secret, "a", "c", "/p", 1),
                            fingerprint(
                                    "other".getBytes(StandardCharsets.UTF_8), "a", "c", "/p", 1),
                            fingerprint(secret, "b", "c", "/p", 1),
                            fingerprint(secret, "a", "d", "/p", 1),
                            fingerprint(secret, "a", "c", "/q", 1),
                            fingerprint(secret, "a", "c", "/p", 2));
            assertThat(distinct).hasSize(6).contains(fingerprint(secret, "a", "c", "/p", 1));
        }

        private Fingerprint fingerprint(
                byte[] secret, String account, String requestClass, String path, int b) {
            return new Fingerprinter(secret)
                    .of(
                            new ClientAccountId(account),
                            new RequestClassId(requestClass),
                            path,
                            new byte[] {(byte) b});
        }
    }

    /** Tests notices of peers. */
    @Nested
    class Notices {
        @Test
        void higherCountTakesPrecedenceAndTheSameCountDoesNotRenewThePeriod() {
            heard(CRASHING, 2, 1000, 1000);
            heard(CRASHING, 2, 0, TTL_MILLIS - 10);
            heard(CRASHING, 1, 0, TTL_MILLIS - 10);
            assertThat(verdict(CRASHING, TTL_MILLIS)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(CRASHING, TTL_MILLIS + 1)).isEqualTo(SuspectVerdict.GUARDED);
        }

        @Test
        void noticeNearTheEndOfThePeriodIsIgnored() {
            heard(CRASHING, 2, TTL_MILLIS - 100, 0);
            assertThat(verdict(CRASHING, 0)).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void completionClearsOnlyCrashesCertainlyBeforeIt() {
            mSuspects.crashed(List.of(HARMLESS), millis(10_000));
            heard(HARMLESS, 0, 0, 10_500);
            assertThat(verdict(HARMLESS, 10_500)).isEqualTo(SuspectVerdict.GUARDED);
            heard(HARMLESS, 0, 0, 12_000);
            assertThat(verdict(HARMLESS, 12_000)).isEqualTo(SuspectVerdict.FREE);
            heard(HARMLESS, 1, 2_500, 12_500);
            assertThat(verdict(HARMLESS, 12_500)).isEqualTo(SuspectVerdict.FREE);
        }
    }

    /**
     * Checks the limit on the number of servers that one request crashes when its caller retries
     * it, one attempt at a time, through any of four entry VMs. Without gossip the limit is twice
     * the number of entry VMs; with gossip it is lower the more slowly the caller retries.
     *
     * @param seed the seed of the schedule
     * @param retryMillis the minimum time between two attempts, in milliseconds
     * @param gossip whether notices arrive
     */
    @Property(seed = "20261204", tries = 400)
    void numberOfCrashedServersIsLimited(
            @ForAll long seed,
            @ForAll @IntRange(min = 10, max = 4000) int retryMillis,
            @ForAll boolean gossip) {
        int vms = 4;
        Random random = new Random(seed);
        List<CrashSuspects> fleet = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            fleet.add(new CrashSuspects());
        }
        Map<Long, List<Runnable>> arrivals = new HashMap<>();
        int crashes = 0;
        long nextAttemptMillis = 0;
        for (long now = 0; now < TTL_MILLIS / 10; now += 10) {
            long at = now;
            for (Runnable arrival : arrivals.getOrDefault(now, List.of())) {
                arrival.run();
            }
            for (int from = 0; gossip && from < vms && now % 500 == 0; from++) {
                List<SuspectNotice> notices = fleet.get(from).notices(TTL_MILLIS, millis(now));
                for (CrashSuspects to : fleet) {
                    long arrives = now + 10 + 10 * random.nextInt(50);
                    arrivals.computeIfAbsent(arrives, key -> new ArrayList<>())
                            .add(() -> to.heard(notices, TTL_MILLIS, millis(arrives)));
                }
            }
            CrashSuspects vm = fleet.get(random.nextInt(vms));
            if (at >= nextAttemptMillis
                    && vm.verdict(CRASHING, TTL_MILLIS, millis(at)) != SuspectVerdict.REFUSED) {
                vm.crashed(List.of(CRASHING), millis(at));
                crashes++;
                nextAttemptMillis = at + retryMillis;
            }
        }
        int bound = CrashSuspects.REFUSED_CRASHES * vms;
        if (gossip) {
            int attempts =
                    (int) Math.ceil((double) CrashSuspects.NOTICE_DELAY_MILLIS / retryMillis);
            bound = Math.min(bound, CrashSuspects.REFUSED_CRASHES * attempts);
        }
        assertThat(crashes).isBetween(2, bound);
    }
}
