package org.magnoliaseam.testbed.soak;

import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Soaks a site in the faults of one seed and checks the promises. */
public final class SoakRun {

    /** The entry VMs, and the backend servers. */
    private static final int TARGETS = 3;

    /** The threads that bring faults about. */
    private static final int FAULT_THREADS = 16;

    /** The time in which a site is served again after the last fault, in milliseconds. */
    private static final long RECOVERY_MILLIS = 12_000;

    /** The time in which all entry VMs answer after the start, in milliseconds. */
    private static final long START_MILLIS = 20_000;

    /** The good answers in a row that show that an entry VM serves. */
    private static final int GOOD_ANSWERS = 3;

    /** The time between two looks at the processes in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    /** The time after the last answer in which a request must not run any more. */
    private static final long AFTERMATH_MILLIS = 1000;

    /** The seed. */
    private final long mSeed;

    /** The length of the faults in milliseconds. */
    private final long mMillis;

    /** The broken promises that are seen at once. */
    private final List<String> mBroken = new CopyOnWriteArrayList<>();

    /**
     * Holds the outcome of a soak.
     *
     * @param calls the requests that were sent
     * @param whole the requests with a whole success
     * @param faults the faults that were brought about
     * @param broken one line for each broken promise
     */
    public record Outcome(int calls, int whole, int faults, List<String> broken) {}

    /**
     * Creates a soak.
     *
     * @param seed the seed
     * @param millis the length of the faults in milliseconds
     */
    public SoakRun(long seed, long millis) {
        mSeed = seed;
        mMillis = millis;
    }

    /**
     * Runs the soak.
     *
     * @param folder the folder for settings and output, which stays
     * @param binary the router's executable
     * @return what came of it
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
                mBroken.add("a fault has not ended");
            }
            await(site, callers, RECOVERY_MILLIS, "did not recover");
            callers.close();
            TimeUnit.MILLISECONDS.sleep(AFTERMATH_MILLIS);
            List<String> broken = new ArrayList<>(mBroken);
            broken.addAll(new SoakJudge(site).judge(callers.calls()));
            long whole = callers.calls().stream().filter(SoakRun::good).count();
            return new Outcome(callers.calls().size(), (int) whole, steps.size(), broken);
        } finally {
            faults.shutdownNow();
        }
    }

    /**
     * Brings a fault about when its time has come, and ends it later.
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
                        mBroken.add(step + " could not be brought about or ended: " + e);
                    }
                };
        faults.schedule(fault, step.atMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Looks for processes that end by themselves.
     *
     * @param site the system under test
     * @param millis how long to look
     * @throws InterruptedException if the thread was interrupted
     */
    private void watch(SoakSite site, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - end < 0) {
            for (SoakRouter router : site.routers()) {
                if (router.endedByItself()) {
                    mBroken.add("a process ended by itself");
                    router.start();
                }
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
    }

    /**
     * Waits until each entry VM answers requests of each kind.
     *
     * @param site the system under test
     * @param callers send the requests
     * @param millis the longest time
     * @param failure what it means if one does not
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
                    mBroken.add("entry-" + router + " " + failure + ", path " + path);
                }
            }
        }
    }

    /**
     * Tells whether a request was answered with a whole success.
     *
     * @param call the request
     * @return true if it was
     */
    private static boolean good(SoakCall call) {
        return call.status() == 200 && call.whole();
    }
}
