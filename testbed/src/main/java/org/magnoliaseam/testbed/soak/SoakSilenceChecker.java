package org.magnoliaseam.testbed.soak;

import java.util.Collection;
import java.util.List;

/** Checks that no request ends before its deadline only because servers were silent. */
final class SoakSilenceChecker {

    /** The time limit of routes without streams in nanoseconds. */
    private static final long ROUTE_NANOS = 2_000_000_000L;

    /** The deadline of each call in nanoseconds. */
    private static final long DEADLINE_NANOS = 2_500_000_000L;

    /** The share of its deadline after which a request may end without an answer. */
    private static final double DEADLINE_SHARE = 0.9;

    /** The status of a request whose server gave no usable answer. */
    private static final int BAD_GATEWAY = 502;

    /** The status of a request whose server gave no answer in time. */
    private static final int GATEWAY_TIMEOUT = 504;

    /** The system. */
    private final SoakSite mSite;

    /**
     * Creates a checker.
     *
     * @param site the system
     */
    SoakSilenceChecker(SoakSite site) {
        mSite = site;
    }

    /**
     * Checks all requests.
     *
     * @param calls the calls
     * @return the violations
     */
    List<String> check(Collection<SoakCall> calls) {
        return calls.stream()
                .filter(call -> endedEarly(call) && onlySilences(call))
                .map(call -> "ended early for a silence: " + call)
                .toList();
    }

    /**
     * Tells whether a request ended without a whole answer or a refusal, well before its deadline.
     *
     * @param call the request
     * @return whether it did
     */
    private static boolean endedEarly(SoakCall call) {
        boolean lost =
                !call.whole() || call.status() == BAD_GATEWAY || call.status() == GATEWAY_TIMEOUT;
        long limit = call.streamed() ? DEADLINE_NANOS : ROUTE_NANOS;
        return lost && call.endNanos() - call.beginNanos() < DEADLINE_SHARE * limit;
    }

    /**
     * Tells whether servers were silent during a request and nothing else was disturbed during it
     * and the settling time before it.
     *
     * @param call the request
     * @return whether this is so
     */
    private boolean onlySilences(SoakCall call) {
        long begin = call.beginNanos();
        long end = call.endNanos();
        long from = begin - DisturbanceLog.SETTLE_NANOS;
        boolean silent = false;
        boolean sound =
                mSite.router(call.router()).disturbances().undisturbed(begin, end)
                        && mSite.storeDisturbances().undisturbed(begin, end);
        for (SoakServer slot : mSite.servers()) {
            int silences = slot.silences().count(from, end);
            silent |= slot.silences().count(begin, end) > 0;
            sound &= slot.disturbances().count(from, end) == silences;
            sound &=
                    slot.instances().stream()
                            .allMatch(server -> server.returns(from) == server.returns(end));
        }
        return silent && sound;
    }
}
