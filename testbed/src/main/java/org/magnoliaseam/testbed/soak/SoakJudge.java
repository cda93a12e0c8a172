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

/** Checks the promises by what callers and backend servers saw. */
final class SoakJudge {

    /** The time in which a leaving backend server still gets work, in nanoseconds. */
    private static final long LEAVING_NANOS = 2_000_000_000L;

    /** The time in which a failure domain out of service still gets work, in nanoseconds. */
    private static final long OUT_NANOS = 5_000_000_000L;

    /** The time in which a configuration comes into force, in nanoseconds. */
    private static final long CONFIGURATION_NANOS = 2_000_000_000L;

    /** The time after which no older version may be seen in force, in nanoseconds. */
    private static final long REVERT_NANOS = 2_000_000_000L;

    /** The time by which an answer may come late, in nanoseconds. */
    private static final long LATE_NANOS = 500_000_000L;

    /** The deadline of each call in nanoseconds. */
    private static final long DEADLINE_NANOS = 2_500_000_000L;

    /** The identifiers of the events of a stream. */
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: \\d+\n\n");

    /** The version that a path belongs to. */
    private static final Pattern VERSION = Pattern.compile("/v(\\d+)/x");

    /** The system under test. */
    private final SoakSite mSite;

    /** The broken promises. */
    private final List<String> mBroken = new ArrayList<>();

    /**
     * Holds where and when a request ran.
     *
     * @param place the place of the backend server
     * @param life the backend server
     * @param nanos the local monotonic time
     */
    private record Ran(SoakServer place, SoakServer.Life life, long nanos) {}

    /**
     * Creates a judge.
     *
     * @param site the system under test
     */
    SoakJudge(SoakSite site) {
        mSite = site;
    }

    /**
     * Checks everything that was seen.
     *
     * @param calls what callers saw
     * @return one line for each broken promise
     */
    List<String> judge(Collection<SoakCall> calls) {
        Map<String, List<Ran>> runs = runs();
        Map<String, SoakCall> byId = new HashMap<>();
        for (SoakCall call : calls) {
            byId.put(call.id(), call);
            List<Ran> ran = runs.getOrDefault(call.id(), List.of());
            checkOnce(call, ran);
            checkAnswer(call, ran);
            checkDenied(call);
            checkPlannedStop(call, ran);
        }
        for (Map.Entry<String, List<Ran>> entry : runs.entrySet()) {
            SoakCall call = byId.get(entry.getKey());
            if (call != null) {
                entry.getValue().forEach(ran -> checkPlace(call, ran));
            }
        }
        checkConfigurations(calls);
        checkStops();
        return mBroken;
    }

    /**
     * Collects the runs at all backend servers.
     *
     * @return the runs by request
     */
    private Map<String, List<Ran>> runs() {
        Map<String, List<Ran>> runs = new TreeMap<>();
        for (SoakServer place : mSite.servers()) {
            for (SoakServer.Life life : place.lives()) {
                for (ServerStandIn.Run run : life.starts()) {
                    runs.computeIfAbsent(run.request(), id -> new ArrayList<>())
                            .add(new Ran(place, life, run.nanos()));
                }
            }
        }
        return runs;
    }

    /**
     * Checks that a request ran once at most, and not at all if that was promised.
     *
     * @param call the request
     * @param ran its runs
     */
    private void checkOnce(SoakCall call, List<Ran> ran) {
        if (call.once() && ran.size() > 1) {
            broken("ran " + ran.size() + " times", call);
        }
        if (call.once() && call.promised() && !ran.isEmpty()) {
            broken("was promised not to run but ran", call);
        }
    }

    /**
     * Checks that an answer is whole and belongs to its request.
     *
     * @param call the request
     * @param ran its runs
     */
    private void checkAnswer(SoakCall call, List<Ran> ran) {
        boolean success = call.status() >= 200 && call.status() < 300;
        if (success && ran.isEmpty()) {
            broken("succeeded without a run", call);
        }
        if (success && call.streamed()) {
            checkEvents(call);
        } else if (success && call.whole() && !call.body().contains('"' + call.id() + '"')) {
            broken("got another body: " + call.body(), call);
        }
        boolean calm = router(call).disturbances().calm(call.beginNanos(), call.endNanos());
        if (calm && call.endNanos() - call.beginNanos() > DEADLINE_NANOS + LATE_NANOS) {
            broken("was held beyond its deadline", call);
        }
    }

    /**
     * Checks that the events of a stream come in order and are all there if it ended as complete.
     *
     * @param call the request
     */
    private void checkEvents(SoakCall call) {
        Matcher matcher = EVENT.matcher(call.body());
        int expected = 1;
        int end = 0;
        while (matcher.find() && matcher.start() == end) {
            if (Integer.parseInt(matcher.group(1)) != expected++) {
                broken("got events out of order", call);
                return;
            }
            end = matcher.end();
        }
        if (end < call.body().length()) {
            broken("got a part of an event", call);
        }
        if (call.whole() && expected <= ServerStandIn.EVENTS) {
            broken("ended as complete after " + (expected - 1) + " events", call);
        }
    }

    /**
     * Checks that a permanent route is never denied.
     *
     * @param call the request
     */
    private void checkDenied(SoakCall call) {
        boolean denied = call.status() == 404 || call.status() == 401 || call.status() == 403;
        if (denied && !VERSION.matcher(call.path()).matches()) {
            broken("was denied", call);
        }
    }

    /**
     * Checks that a request is not sent to a backend server or failure domain that leaves.
     *
     * @param call the request
     * @param ran one of its runs
     */
    private void checkPlace(SoakCall call, Ran ran) {
        boolean calm =
                router(call).disturbances().calm(call.beginNanos(), ran.nanos())
                        && mSite.storeDisturbances().calm(call.beginNanos(), ran.nanos())
                        && ran.place().disturbances().calm(call.beginNanos(), ran.nanos());
        if (!calm) {
            return;
        }
        long leaving = ran.life().leavingNanos();
        if (leaving != Long.MAX_VALUE && ran.nanos() - leaving > LEAVING_NANOS) {
            broken("ran at a leaving server, " + ran.life().id(), call);
        }
        for (SoakSite.Evacuation out : mSite.evacuations()) {
            if (out.covers(ran.place().domain(), ran.nanos(), OUT_NANOS)) {
                broken("ran in a failure domain out of service, " + ran.place().domain(), call);
            }
        }
    }

    /**
     * Checks that a planned stop cuts no request that has been passed on.
     *
     * @param call the request
     * @param ran its runs
     */
    private void checkPlannedStop(SoakCall call, List<Ran> ran) {
        if (call.whole() || ran.isEmpty()) {
            return;
        }
        boolean serversCalm = true;
        for (Ran run : ran) {
            serversCalm &= run.place().disturbances().calm(call.beginNanos(), call.endNanos());
        }
        for (SoakRouter.PlannedStop stop : router(call).stops()) {
            boolean during =
                    call.endNanos() >= stop.beginNanos() && call.endNanos() <= stop.endNanos();
            boolean alone = alone(router(call), stop);
            if (during && alone && serversCalm) {
                broken("was cut by a planned stop", call);
            }
        }
    }

    /**
     * Tells whether a planned stop was the only disturbance of a process that had settled.
     *
     * @param router the entry VM
     * @param stop the planned stop
     * @return true if nothing else came with it
     */
    private static boolean alone(SoakRouter router, SoakRouter.PlannedStop stop) {
        long settled = stop.beginNanos() - Disturbances.SETTLE_NANOS;
        return router.disturbances().count(settled, stop.endNanos()) == 1;
    }

    /**
     * Checks that each version comes into force in time and that none comes back.
     *
     * @param calls what callers saw
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
                            broken("got a version that had been replaced by " + newer, call);
                        }
                    });
            if (served) {
                own.putIfAbsent(version, call.endNanos());
            }
        }
    }

    /**
     * Checks that the version that a request needs is in force if it is the newest, and only then.
     *
     * @param call the request
     * @param version the version that its route belongs to
     * @param served whether the route was served
     */
    private void checkInForce(SoakCall call, int version, boolean served) {
        boolean calm =
                router(call).disturbances().calm(call.beginNanos(), call.endNanos())
                        && mSite.storeDisturbances().calm(call.beginNanos(), call.endNanos());
        if (!calm) {
            return;
        }
        for (SoakSite.Published published : mSite.versions()) {
            boolean due = call.beginNanos() - published.nanos() > CONFIGURATION_NANOS;
            boolean own = published.version() == version;
            if (due && served && published.version() > version) {
                broken("got an old version after " + published.version(), call);
            } else if (due && own && call.status() == 404 && newestAt(call) == version) {
                broken("was denied the version in force", call);
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

    /** Checks that planned stops end well. */
    private void checkStops() {
        for (int i = 0; i < mSite.routers().size(); i++) {
            SoakRouter router = mSite.router(i);
            for (SoakRouter.PlannedStop stop : router.stops()) {
                boolean alone = alone(router, stop);
                if (alone && stop.exitCode() != 0) {
                    mBroken.add("entry-" + i + " ended a planned stop with " + stop.exitCode());
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
     * Notes a broken promise.
     *
     * @param what what happened
     * @param call the request
     */
    private void broken(String what, SoakCall call) {
        mBroken.add(
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
