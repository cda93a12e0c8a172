package org.magnoliaseam.testbed.soak;

import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs a soak test with the faults of one seed and checks the guarantees. */
public final class SoakRun {

    /** The number of entry VMs, and of backend servers. */
    private static final int TARGETS = 3;

    /** The number of threads that inject faults. */
    private static final int FAULT_THREADS = 16;

    /** The time within which the site serves again after the last fault, in milliseconds. */
    private static final long RECOVERY_MILLIS = 12_000;

    /** The time within which all entry VMs answer after the start, in milliseconds. */
    private static final long START_MILLIS = 20_000;

    /** The number of consecutive successes after which an entry VM counts as serving. */
    private static final int GOOD_ANSWERS = 3;

    /** The time between two checks of the processes in milliseconds. */
    private static final long WATCH_INTERVAL_MILLIS = 50;

    /**
     * The time after the last answer in which late executions are still recorded, in milliseconds.
     */
    private static final long LATE_EXECUTION_MILLIS = 1000;

    /** The seed. */
    private final long mSeed;

    /** The time in which faults are injected, in milliseconds. */
    private final long mMillis;

    /** The violations that are detected during the run. */
    private final List<String> mViolations = new CopyOnWriteArrayList<>();

    /**
     * Holds the outcome of a soak test.
     *
     * @param calls the number of requests that were sent
     * @param whole the number of requests with a complete success
     * @param faults the number of planned faults
     * @param violations one line for each violated guarantee
     */
    public record Outcome(int calls, int whole, int faults, List<String> violations) {}

    /**
     * Creates a soak test.
     *
     * @param seed the seed
     * @param millis the time in which faults are injected, in milliseconds
     */
    public SoakRun(long seed, long millis) {
        mSeed = seed;
        mMillis = millis;
    }

    /**
     * Runs the soak test.
     *
     * @param folder the folder for settings and output, which is kept
     * @param binary the router's executable
     * @return the outcome
     * @throws Exception if the site cannot be run
     */
    public Outcome run(Path folder, String binary) throws Exception {
        List<SoakStep> steps = SoakPlan.draw(mSeed, mMillis, TARGETS);
        ScheduledExecutorService faults = Executors.newScheduledThreadPool(FAULT_THREADS);
        try (SoakSite site = new SoakSite(folder, binary, TARGETS);
                SoakCallers callers = new SoakCallers(site)) {
            await(site, callers, START_MILLIS, "did not serve after the start");
            steps.forEach(step -> schedule(faults, site, step));
            watch(site, mMillis);
            faults.shutdown();
            if (!faults.awaitTermination(RECOVERY_MILLIS * 2, TimeUnit.MILLISECONDS)) {
                mViolations.add("a fault has not ended");
            }
            await(site, callers, RECOVERY_MILLIS, "did not recover");
            callers.close();
            TimeUnit.MILLISECONDS.sleep(LATE_EXECUTION_MILLIS);
            List<String> violations = new ArrayList<>(mViolations);
            violations.addAll(new SoakChecker(site).check(callers.calls()));
            violations.addAll(new SoakNoticeChecker(site).check(callers.calls()));
            violations.addAll(new SoakSilenceChecker(site).check(callers.calls()));
            long whole = callers.calls().stream().filter(SoakRun::good).count();
            return new Outcome(callers.calls().size(), (int) whole, steps.size(), violations);
        } finally {
            faults.shutdownNow();
        }
    }

    /**
     * Schedules a fault, which ends after its duration.
     *
     * @param faults runs the faults
     * @param site the system under test
     * @param step the fault
     */
    private void schedule(ScheduledExecutorService faults, SoakSite site, SoakStep step) {
        Runnable fault =
                () -> {
                    try (AutoCloseable end = step.fault().begin(site, step.target())) {
                        TimeUnit.MILLISECONDS.sleep(step.forMillis());
                    } catch (Exception e) {
                        mViolations.add(step + " could not be injected or ended: " + e);
                    }
                };
        faults.schedule(fault, step.atMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Restarts processes that end unexpectedly and records a violation for each.
     *
     * @param site the system under test
     * @param millis how long to watch, in milliseconds
     * @throws InterruptedException if the thread was interrupted
     */
    private void watch(SoakSite site, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - end < 0) {
            for (SoakRouter router : site.routers()) {
                if (router.endedUnexpectedly()) {
                    mViolations.add("a process ended unexpectedly");
                    router.start();
                }
            }
            TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MILLIS);
        }
    }

    /**
     * Waits until each entry VM answers requests of each kind.
     *
     * @param site the system under test
     * @param callers send the requests
     * @param millis the longest time in milliseconds
     * @param failure the violation to record if an entry VM does not
     * @throws InterruptedException if the thread was interrupted
     */
    private void await(SoakSite site, SoakCallers callers, long millis, String failure)
            throws InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int router = 0; router < site.routers().size(); router++) {
            for (String path : SoakCallers.PATHS) {
                int good = 0;
                while (good < GOOD_ANSWERS && System.nanoTime() - end < 0) {
                    good = good(callers.call(client, router, path)) ? good + 1 : 0;
                }
                if (good < GOOD_ANSWERS) {
                    mViolations.add("entry-" + router + " " + failure + ", path " + path);
                }
            }
        }
    }

    /**
     * Tells whether a request was answered with a complete success.
     *
     * @param call the request
     * @return true if the status is 200 and the answer is complete
     */
    private static boolean good(SoakCall call) {
        return call.status() == 200 && call.whole();
    }
}
