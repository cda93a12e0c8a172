package org.magnoliaseam.testbed.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliaseam.testbed.store.ServerStandIn;

/** Checks the guarantees against the observations of callers and backend servers. */
final class SoakChecker {

    /** The time in which a draining backend server may still receive requests, in nanoseconds. */
    private static final long DRAIN_NOTICE_NANOS = 2_000_000_000L;

    /**
     * The time in which a failure domain out of service may still receive requests, in nanoseconds.
     */
    private static final long EVACUATION_NANOS = 5_000_000_000L;

    /** The time within which a configuration takes effect, in nanoseconds. */
    private static final long CONFIGURATION_NANOS = 2_000_000_000L;

    /** The time after which no older version may be in effect, in nanoseconds. */
    private static final long REVERT_NANOS = 2_000_000_000L;

    /** The tolerance for answers after the deadline, in nanoseconds. */
    private static final long TOLERANCE_NANOS = 500_000_000L;

    /** The deadline of each call in nanoseconds. */
    private static final long DEADLINE_NANOS = 2_500_000_000L;

    /** One event of a stream with its identifier. */
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: \\d+\n\n");

    /** A path of the route that only one version has. */
    private static final Pattern VERSION = Pattern.compile("/v(\\d+)/x");

    /** The system under test. */
    private final SoakSite mSite;

    /** One line for each violation. */
    private final List<String> mViolations = new ArrayList<>();

    /**
     * Holds where and when a request was executed.
     *
     * @param slot the slot of the backend server
     * @param instance the backend server
     * @param nanos the local monotonic time
     */
    private record Execution(SoakServer slot, SoakServer.Instance instance, long nanos) {}

    /**
     * Creates a checker.
     *
     * @param site the system under test
     */
    SoakChecker(SoakSite site) {
        mSite = site;
    }

    /**
     * Checks all observations.
     *
     * @param calls the observations of the callers
     * @return one line for each violated guarantee
     */
    List<String> check(Collection<SoakCall> calls) {
        Map<String, List<Execution>> runs = runs();
        Map<String, SoakCall> byId = new HashMap<>();
        for (SoakCall call : calls) {
            byId.put(call.id(), call);
            List<Execution> executions = runs.getOrDefault(call.id(), List.of());
            checkOnce(call, executions);
            checkAnswer(call, executions);
            checkDenied(call);
            checkPlannedStop(call, executions);
        }
        for (Map.Entry<String, List<Execution>> entry : runs.entrySet()) {
            SoakCall call = byId.get(entry.getKey());
            if (call != null) {
                entry.getValue().forEach(execution -> checkDestination(call, execution));
            }
        }
        checkConfigurations(calls);
        checkStops();
        return mViolations;
    }

    /**
     * Collects the executions at all backend servers.
     *
     * @return the executions by request id
     */
    private Map<String, List<Execution>> runs() {
        Map<String, List<Execution>> runs = new TreeMap<>();
        for (SoakServer slot : mSite.servers()) {
            for (SoakServer.Instance instance : slot.instances()) {
                for (ServerStandIn.Run run : instance.starts()) {
                    runs.computeIfAbsent(run.request(), id -> new ArrayList<>())
                            .add(new Execution(slot, instance, run.nanos()));
                }
            }
        }
        return runs;
    }

    /**
     * Checks that a request ran at most once, and not at all if the status guaranteed that.
     *
     * @param call the request
     * @param executions its executions
     */
    private void checkOnce(SoakCall call, List<Execution> executions) {
        if (call.once() && executions.size() > 1) {
            addViolation("ran " + executions.size() + " times", call);
        }
        if (call.once() && call.guaranteedNotRun() && !executions.isEmpty()) {
            addViolation("ran although its status guaranteed that it would not", call);
        }
    }

    /**
     * Checks that an answer is complete, in time, and belongs to its request.
     *
     * @param call the request
     * @param executions its executions
     */
    private void checkAnswer(SoakCall call, List<Execution> executions) {
        boolean success = call.status() >= 200 && call.status() < 300;
        if (success && executions.isEmpty()) {
            addViolation("succeeded without a run", call);
        }
        if (success && call.streamed()) {
            checkEvents(call);
        } else if (success && call.whole() && !call.body().contains('"' + call.id() + '"')) {
            addViolation("got the body of another request: " + call.body(), call);
        }
        boolean undisturbed =
                router(call).disturbances().undisturbed(call.beginNanos(), call.endNanos());
        if (undisturbed && call.endNanos() - call.beginNanos() > DEADLINE_NANOS + TOLERANCE_NANOS) {
            addViolation("was answered too long after its deadline", call);
        }
    }

    /**
     * Checks that the events of a stream are in order, and complete if the stream ended as
     * complete.
     *
     * @param call the request
     */
    private void checkEvents(SoakCall call) {
        Matcher matcher = EVENT.matcher(call.body());
        int expected = 1;
        int end = 0;
        while (matcher.find() && matcher.start() == end) {
            if (Integer.parseInt(matcher.group(1)) != expected++) {
                addViolation("got events out of order", call);
                return;
            }
            end = matcher.end();
        }
        if (end < call.body().length()) {
            addViolation("got an incomplete event", call);
        }
        if (call.whole() && expected <= ServerStandIn.EVENTS) {
            addViolation("ended as complete after " + (expected - 1) + " events", call);
        }
    }

    /**
     * Checks that a request for a permanent route is never denied.
     *
     * @param call the request
     */
    private void checkDenied(SoakCall call) {
        boolean denied = call.status() == 404 || call.status() == 401 || call.status() == 403;
        if (denied && !VERSION.matcher(call.path()).matches()) {
            addViolation("was denied", call);
        }
    }

    /**
     * Checks that no request is sent to a draining backend server or a failure domain out of
     * service.
     *
     * @param call the request
     * @param execution one of its executions
     */
    private void checkDestination(SoakCall call, Execution execution) {
        boolean undisturbed =
                router(call).disturbances().undisturbed(call.beginNanos(), execution.nanos())
                        && mSite.storeDisturbances()
                                .undisturbed(call.beginNanos(), execution.nanos())
                        && execution
                                .slot()
                                .disturbances()
                                .undisturbed(call.beginNanos(), execution.nanos());
        if (!undisturbed) {
            return;
        }
        long draining = execution.instance().drainingNanos();
        if (draining != Long.MAX_VALUE && execution.nanos() - draining > DRAIN_NOTICE_NANOS) {
            addViolation("ran at a draining server, " + execution.instance().id(), call);
        }
        for (SoakSite.Evacuation out : mSite.evacuations()) {
            if (out.covers(execution.slot().domain(), execution.nanos(), EVACUATION_NANOS)) {
                addViolation(
                        "ran in a failure domain out of service, " + execution.slot().domain(),
                        call);
            }
        }
    }

    /**
     * Checks that a planned stop interrupts no request that a backend server has received.
     *
     * @param call the request
     * @param executions its executions
     */
    private void checkPlannedStop(SoakCall call, List<Execution> executions) {
        if (call.whole() || executions.isEmpty()) {
            return;
        }
        boolean serversUndisturbed = true;
        for (Execution run : executions) {
            serversUndisturbed &=
                    run.slot().disturbances().undisturbed(call.beginNanos(), call.endNanos());
        }
        for (SoakRouter.PlannedStop stop : router(call).stops()) {
            boolean during =
                    call.endNanos() >= stop.beginNanos() && call.endNanos() <= stop.endNanos();
            boolean onlyDisturbance = onlyDisturbance(router(call), stop);
            if (during && onlyDisturbance && serversUndisturbed) {
                addViolation("was interrupted by a planned stop", call);
            }
        }
    }

    /**
     * Tells whether a planned stop was the only disturbance of a process that had settled before
     * it.
     *
     * @param router the entry VM
     * @param stop the planned stop
     * @return true if there was no other disturbance
     */
    private static boolean onlyDisturbance(SoakRouter router, SoakRouter.PlannedStop stop) {
        long settled = stop.beginNanos() - DisturbanceLog.SETTLE_NANOS;
        return router.disturbances().count(settled, stop.endNanos()) == 1;
    }

    /**
     * Checks that each version takes effect in time and that no older version returns.
     *
     * @param calls the observations of the callers
     */
    private void checkConfigurations(Collection<SoakCall> calls) {
        Map<String, Map<Integer, Long>> seen = new HashMap<>();
        List<SoakCall> ordered = new ArrayList<>(calls);
        ordered.sort((a, b) -> Long.compare(a.endNanos(), b.endNanos()));
        for (SoakCall call : ordered) {
            Matcher matcher = VERSION.matcher(call.path());
            if (!matcher.matches() || call.status() == 0) {
                continue;
            }
            int version = Integer.parseInt(matcher.group(1));
            boolean served = call.status() == 200;
            checkInForce(call, version, served);
            String process = call.router() + "/" + call.process();
            Map<Integer, Long> own = seen.computeIfAbsent(process, key -> new HashMap<>());
            own.forEach(
                    (newer, nanos) -> {
                        boolean later = call.beginNanos() - nanos > REVERT_NANOS;
                        if (served && newer > version && later) {
                            addViolation("got a version that had been replaced by " + newer, call);
                        }
                    });
            if (served) {
                own.putIfAbsent(version, call.endNanos());
            }
        }
    }

    /**
     * Checks that a request for the route of a version is served exactly if the version is the
     * newest.
     *
     * @param call the request
     * @param version the version that its route belongs to
     * @param served whether the route was served
     */
    private void checkInForce(SoakCall call, int version, boolean served) {
        boolean undisturbed =
                router(call).disturbances().undisturbed(call.beginNanos(), call.endNanos())
                        && mSite.storeDisturbances()
                                .undisturbed(call.beginNanos(), call.endNanos());
        if (!undisturbed) {
            return;
        }
        for (SoakSite.Published published : mSite.versions()) {
            boolean due = call.beginNanos() - published.nanos() > CONFIGURATION_NANOS;
            boolean own = published.version() == version;
            if (due && served && published.version() > version) {
                addViolation("got an old version after " + published.version(), call);
            } else if (due && own && call.status() == 404 && newestAt(call) == version) {
                addViolation("was denied the version in force", call);
            }
        }
    }

    /**
     * Returns the newest version that had been published when a request ended.
     *
     * @param call the request
     * @return the version
     */
    private int newestAt(SoakCall call) {
        int newest = 0;
        for (SoakSite.Published published : mSite.versions()) {
            newest = published.nanos() <= call.endNanos() ? published.version() : newest;
        }
        return newest;
    }

    /** Checks that planned stops end with exit code 0. */
    private void checkStops() {
        for (int i = 0; i < mSite.routers().size(); i++) {
            SoakRouter router = mSite.router(i);
            for (SoakRouter.PlannedStop stop : router.stops()) {
                boolean onlyDisturbance = onlyDisturbance(router, stop);
                if (onlyDisturbance && stop.exitCode() != 0) {
                    mViolations.add(
                            "entry-"
                                    + i
                                    + " ended a planned stop with exit code "
                                    + stop.exitCode());
                }
            }
        }
    }

    /**
     * Returns the entry VM that a request was sent to.
     *
     * @param call the request
     * @return the entry VM
     */
    private SoakRouter router(SoakCall call) {
        return mSite.router(call.router());
    }

    /**
     * Records a violated guarantee.
     *
     * @param what a description of the violation
     * @param call the request
     */
    private void addViolation(String what, SoakCall call) {
        mViolations.add(
                "request %s %s: entry-%d, %s, status %d, whole %s, began at %d ms and took %d ms"
                        .formatted(
                                call.id(),
                                what,
                                call.router(),
                                call.path(),
                                call.status(),
                                call.whole(),
                                (call.beginNanos() - mSite.versions().get(0).nanos()) / 1_000_000,
                                (call.endNanos() - call.beginNanos()) / 1_000_000));
    }
}
