package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.BackendMember;
import org.magnoliaseam.testbed.harness.CallSchedule;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that leaving engines and failure domains get no new requests while others serve. */
class LeavingIT {

    private static final long LEAVE_LIMIT_MILLIS = 5_000;
    private static final long CONFIGURATION_MILLIS = 7_000;
    private static final long OBSERVATION_MILLIS = 3_000;
    private static final int MAX_LONG_REVIEWS = 18;
    private static final String DOMAIN_OUT = "[out-of-service]\nfailure-domains = [\"domain-2\"]\n";

    private static TestSite sSite;

    @BeforeAll
    static void start() {
        SiteSpec spec = new SiteSpec().withEntryVms(3).withEngines(3).withProxies();
        sSite = TestSite.start(spec);
        Waits.warm(sSite);
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    @Test
    void failureDomainOutGetsNoStartAndReturns() {
        String stale = sSite.links().between("entry-1", TestSite.PLATFORM).address().toString();
        try (BackgroundLoad load = new BackgroundLoad(sSite, 8, "question", 40, 100)) {
            Waits.sleep(1_000);
            sSite.platform().mode("stale", 0, stale);
            long outMillis = System.currentTimeMillis();
            sSite.publishOverlay(DOMAIN_OUT);
            long limitMillis = outMillis + LEAVE_LIMIT_MILLIS;
            Waits.until(limitMillis + OBSERVATION_MILLIS);
            int before = sSite.engine(1).startsSince(outMillis);
            assertThat(sSite.engine(1).startsSince(limitMillis)).isZero();
            assertThat(sSite.engine(0).startsSince(limitMillis)).isPositive();
            assertThat(sSite.engine(2).startsSince(limitMillis)).isPositive();

            long backMillis = System.currentTimeMillis();
            sSite.publishOverlay("");
            long took =
                    Waits.await(
                            "a start in the failure domain that is back in service",
                            CONFIGURATION_MILLIS,
                            () -> sSite.engine(1).startsSince(backMillis) > 0);
            System.out.printf(
                    "LeavingIT: starts after publication %d, back after %d ms, whole %d%n",
                    before, took, load.whole());
            load.close();
            assertThat(load.failures()).isEmpty();
        } finally {
            sSite.platform().mode("normal", 0, stale);
        }
    }

    @Test
    void leavingEngineGetsNoStartAndEndsItsStreams() {
        BackendMember engine = sSite.engine(2);
        try (BackgroundLoad load = new BackgroundLoad(sSite, 6, "question", 40, 100)) {
            long beginMillis = System.currentTimeMillis();
            List<ChatCall> calls = new ArrayList<>();
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            Waits.await(
                    "a long stream at the engine",
                    5_000,
                    () -> {
                        if (calls.size() < MAX_LONG_REVIEWS) {
                            calls.add(longReview(calls.size()));
                            answers.add(send(calls.get(calls.size() - 1), calls.size()));
                        }
                        return reviewStarted(engine, beginMillis);
                    });
            long leavingMillis = System.currentTimeMillis();
            engine.control("{\"leaving\":true}");
            Waits.until(leavingMillis + LEAVE_LIMIT_MILLIS + OBSERVATION_MILLIS);
            assertThat(engine.startsSince(leavingMillis + LEAVE_LIMIT_MILLIS)).isZero();
            long atEngine = answers.stream().filter(a -> isOf(engine, a.join())).count();
            assertThat(atEngine).isPositive();
            for (int i = 0; i < calls.size(); i++) {
                assertThat(BackgroundLoad.describe(calls.get(i), answers.get(i).join())).isEmpty();
            }
            load.close();
            assertThat(load.failures()).isEmpty();
            System.out.printf(
                    "LeavingIT: long streams at the leaving engine %d, whole %d%n",
                    atEngine, load.whole());
        } finally {
            engine.control("{\"leaving\":false}");
        }
    }

    private static ChatCall longReview(int number) {
        String prompt = "Review page %d. [[tokens=300]]".formatted(number);
        return ChatCall.streamed(SiteSpec.KEYS.get(1), SiteSpec.MODEL, prompt).inClass("review");
    }

    private static CompletableFuture<CallerAnswer> send(ChatCall call, int number) {
        CallSchedule due = CallSchedule.now(30_000);
        int entry = number % sSite.entries().size();
        return sSite.client().chatAsync(sSite.entry(entry).callers(), call, due);
    }

    /** Tells whether a review, which the engine lists under its tier 3, has started. */
    private static boolean reviewStarted(BackendMember engine, long sinceMillis) {
        for (var start : engine.get("/test/starts?sinceMillis=" + sinceMillis)) {
            if (start.path("priority").asInt() == 3) {
                return true;
            }
        }
        return false;
    }

    private static boolean isOf(BackendMember engine, CallerAnswer answer) {
        return answer.backendServer().equals(engine.name());
    }
}
