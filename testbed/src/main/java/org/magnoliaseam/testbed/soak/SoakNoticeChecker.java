package org.magnoliaseam.testbed.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.testbed.store.ServerStandIn.Arrival;

/**
 * Checks that entry VMs follow what servers state in their answers. What a process was told holds
 * until it ends, whatever happens to the store meanwhile.
 */
final class SoakNoticeChecker {

    /** The time after an answer that says that a server is leaving, in nanoseconds. */
    private static final long LEAVING_NOTICE_NANOS = 2_000_000_000L;

    /** The time in which requests may still be on their way to a server, in nanoseconds. */
    private static final long ON_THE_WAY_NANOS = 500_000_000L;

    /** The time in which an answer reaches its entry VM, in nanoseconds. */
    private static final long ANSWER_NANOS = 100_000_000L;

    /** The requests that a process may send to a server that wants none. */
    private static final int MAX_UNWANTED = 2;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The system. */
    private final SoakSite mSite;

    /** The violations found so far. */
    private final List<String> mViolations = new ArrayList<>();

    /**
     * Pairs a request at a server with the call that caused it.
     *
     * @param arrival the request at the server
     * @param call the call
     */
    private record Sent(Arrival arrival, SoakCall call) {}

    /**
     * Creates a checker.
     *
     * @param site the system
     */
    SoakNoticeChecker(SoakSite site) {
        mSite = site;
    }

    /**
     * Checks all requests.
     *
     * @param calls the calls
     * @return the violations
     */
    List<String> check(Collection<SoakCall> calls) {
        Map<String, SoakCall> byId = new HashMap<>();
        calls.forEach(call -> byId.put(call.id(), call));
        for (SoakServer slot : mSite.servers()) {
            for (SoakServer.Instance instance : slot.instances()) {
                Map<String, List<Sent>> byProcess = new HashMap<>();
                for (Arrival arrival : instance.arrivals()) {
                    SoakCall call = byId.get(arrival.request());
                    if (call != null) {
                        String process = call.router() + "/" + call.process();
                        byProcess
                                .computeIfAbsent(process, key -> new ArrayList<>())
                                .add(new Sent(arrival, call));
                    }
                }
                byProcess.values().forEach(sent -> checkLeaving(instance, sent));
                byProcess.values().forEach(sent -> checkPushback(slot, instance, sent));
            }
        }
        return mViolations;
    }

    /**
     * Checks that a process sends nothing to a server that told it that it is leaving.
     *
     * @param instance the server
     * @param sent the requests that the process sent there, in order of arrival
     */
    private void checkLeaving(SoakServer.Instance instance, List<Sent> sent) {
        long told = Long.MAX_VALUE;
        long returns = 0;
        for (Sent one : sent) {
            long now = instance.returns(one.arrival().nanos());
            told = now == returns ? told : Long.MAX_VALUE;
            returns = now;
            boolean known = told != Long.MAX_VALUE;
            if (known && one.call().beginNanos() > told + LEAVING_NOTICE_NANOS) {
                mViolations.add("reached a leaving server, " + instance.id() + ": " + one.call());
            }
            if (one.arrival().notices().isLeaving() && one.call().whole()) {
                told = Math.min(told, one.call().endNanos());
            }
        }
    }

    /**
     * Checks that a process sends few requests to a server that wants none. A refusal that may have
     * been lost on its way tells a process nothing.
     *
     * @param slot the slot of the server
     * @param instance the server
     * @param sent the requests that the process sent there, in order of arrival
     */
    private void checkPushback(SoakServer slot, SoakServer.Instance instance, List<Sent> sent) {
        for (Sent refused : sent) {
            long arrival = refused.arrival().nanos();
            if (slot.losses().count(arrival, arrival + ANSWER_NANOS) > 0) {
                continue;
            }
            long begin = arrival + ON_THE_WAY_NANOS;
            long millis = refused.arrival().notices().pushbackMillis();
            long end = arrival + millis * NANOS_PER_MILLI;
            long unwanted =
                    sent.stream()
                            .mapToLong(one -> one.arrival().nanos())
                            .filter(nanos -> nanos > begin && nanos < end)
                            .count();
            boolean disturbed =
                    !mSite.router(refused.call().router()).disturbances().undisturbed(arrival, end);
            if (unwanted > MAX_UNWANTED && !disturbed) {
                mViolations.add(
                        "%d requests reached %s within %d ms after the refusal of %s"
                                .formatted(unwanted, instance.id(), millis, refused.call()));
            }
        }
    }
}
