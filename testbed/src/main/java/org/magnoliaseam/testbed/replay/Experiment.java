package org.magnoliaseam.testbed.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.engine.EngineAnswers;
import org.magnoliaseam.testbed.harness.BackendMember;
import org.magnoliaseam.testbed.harness.CallSchedule;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Runs a trace against a new site and kills one engine in the middle of the burst. */
public final class Experiment {

    /** The number of entry VMs. */
    private static final int ENTRY_VMS = 4;

    /** The number of model engines. */
    private static final int ENGINES = 4;

    /** The number of ledgers. */
    private static final int LEDGERS = 1;

    /** The number of completed requests from which an engine counts as warm. */
    private static final int WARM_AFTER_REQUESTS = 12;

    /** The number of concurrent requests of each kind while the engines warm up. */
    private static final int WARM_UP_CONCURRENCY = 24;

    /** The largest number of rounds of warm-up requests. */
    private static final int MAX_WARM_UP_ROUNDS = 100;

    /** The length of an interval of the report. */
    private static final long INTERVAL_MILLIS = 10_000;

    /** The API key of the warm-up requests. */
    private static final String KEY = SiteSpec.KEYS.get(0);

    /** The path of look-ups. */
    private static final String LOOKUP_PATH =
            "/services/" + SiteSpec.SERVICE + "/releases/warm-up-";

    /** The trace. */
    private final Trace mTrace;

    /** The targets. */
    private final OutcomeTargets mTargets;

    /**
     * Creates an experiment.
     *
     * @param trace the trace
     * @param targets the targets
     */
    public Experiment(Trace trace, OutcomeTargets targets) {
        mTrace = trace;
        mTargets = targets;
    }

    /**
     * Runs the trace under one policy.
     *
     * @param policy the policy
     * @return the result
     */
    public PolicyResult run(String policy) {
        SiteSpec spec =
                new SiteSpec()
                        .withEntryVms(ENTRY_VMS)
                        .withEngines(ENGINES)
                        .withLedgers(LEDGERS)
                        .withDispatchPolicy(policy)
                        .withEngineOptions("--report-lag-millis", "500");
        try (TestSite site = TestSite.start(spec)) {
            warmUp(site);
            long before = sum(site.engines(), "tokensGenerated");
            CompletableFuture<Long> killedTokens = killEngine(site);
            List<RequestOutcome> outcomes =
                    new Replayer(
                                    site.client(),
                                    site.entries().stream().map(EntryVm::callers).toList(),
                                    mTargets,
                                    new EngineAnswers(EngineAnswers.DEFAULT_MEAN_TOKENS))
                            .replay(mTrace);
            List<BackendMember> remaining = site.engines().subList(1, ENGINES);
            return new PolicyResult(
                    policy,
                    new ReportBuilder(mTargets, INTERVAL_MILLIS).build(outcomes),
                    sum(remaining, "tokensGenerated") + killedTokens.join() - before,
                    sum(remaining, "fallsOver"),
                    repeatedOrders(site));
        }
    }

    /**
     * Sends requests through every entry VM until all engines have completed enough of them. Many
     * run concurrently, so that warm engines are busy and cold ones receive requests.
     *
     * @param site the site
     */
    private static void warmUp(TestSite site) {
        for (int round = 0; round < MAX_WARM_UP_ROUNDS && !warm(site); round++) {
            List<CompletableFuture<?>> answers = new ArrayList<>();
            for (int i = 0; i < WARM_UP_CONCURRENCY; i++) {
                EntryVm entry = site.entry(i % ENTRY_VMS);
                String prompt = "warm up " + round + "-" + i + " [[tokens=20]]";
                ChatCall call = ChatCall.streamed(KEY, SiteSpec.MODEL, prompt);
                CallSchedule due = CallSchedule.now(CallerClient.DEFAULT_TIMEOUT_MILLIS);
                answers.add(site.client().chatAsync(entry.callers(), call, due));
                ServiceCall lookup = ServiceCall.get(KEY, LOOKUP_PATH + i);
                answers.add(site.client().serviceAsync(entry.callers(), lookup, due));
            }
            answers.forEach(CompletableFuture::join);
        }
    }

    /**
     * Tells whether every engine has completed enough requests.
     *
     * @param site the site
     * @return whether the engines are warm
     */
    private static boolean warm(TestSite site) {
        return site.engines().stream()
                .allMatch(
                        engine -> engine.stats().path("completed").asInt() >= WARM_AFTER_REQUESTS);
    }

    /**
     * Kills the first engine in the middle of the burst.
     *
     * @param site the site
     * @return the number of tokens that the engine had generated
     */
    private CompletableFuture<Long> killEngine(TestSite site) {
        long lengthMillis = mTrace.requests().get(mTrace.requests().size() - 1).atMillis();
        return CompletableFuture.supplyAsync(
                () -> {
                    long generated = site.engine(0).stats().path("tokensGenerated").asLong();
                    site.engine(0).process().kill();
                    return generated;
                },
                CompletableFuture.delayedExecutor(
                        TraceGenerator.burstMiddleMillis(lengthMillis), TimeUnit.MILLISECONDS));
    }

    /**
     * Adds up a count of engines.
     *
     * @param engines the engines
     * @param count the name of the count
     * @return the sum
     */
    private static long sum(List<BackendMember> engines, String count) {
        return engines.stream().mapToLong(engine -> engine.stats().path(count).asLong()).sum();
    }

    /**
     * Counts the orders that ran more than once on all ledgers together.
     *
     * @param site the site
     * @return the number
     */
    private static long repeatedOrders(TestSite site) {
        Map<String, Integer> runs = new HashMap<>();
        for (BackendMember ledger : site.ledgers()) {
            for (JsonNode run : ledger.get("/test/runs").path("runs")) {
                runs.merge(run.path("key").asText(), run.path("count").asInt(), Integer::sum);
            }
        }
        return runs.values().stream().filter(count -> count > 1).count();
    }
}
