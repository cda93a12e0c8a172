package org.magnoliaseam.testbed.proof;

import java.util.function.Consumer;
import org.magnoliaseam.testbed.harness.BackendMember;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.harness.TestSite;
import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.LinkFaults;

/** Lists faults that begin and end at the first engine of a site while it streams answers. */
enum EngineFault {
    KILLED(site -> engine(site).process().kill(), site -> engine(site).restart()),
    STREAMS_RESET(site -> engine(site).control("{\"cold\":true}"), site -> {}),
    TURNED_COLD(
            site -> engine(site).control("{\"cold\":true,\"keepConnections\":true}"), site -> {}),
    LINK_CUT(site -> breakLink(site, LinkFaults.both(Fault.CUT)), site -> site.links().heal()),
    ANSWERS_LATE(
            site -> breakLink(site, new LinkFaults(Fault.PASS, Fault.DELAY, 1_500)),
            site -> site.links().heal()),
    ANSWERS_CROSSED(site -> engine(site).control("{\"crossNext\":8}"), site -> {}),
    FROZEN(
            site -> engine(site).process().send(Signal.STOP),
            site -> engine(site).process().send(Signal.CONT));

    private final Consumer<TestSite> mBegin;
    private final Consumer<TestSite> mEnd;

    EngineFault(Consumer<TestSite> begin, Consumer<TestSite> end) {
        mBegin = begin;
        mEnd = end;
    }

    void begin(TestSite site) {
        mBegin.accept(site);
    }

    void end(TestSite site) {
        mEnd.accept(site);
    }

    private static BackendMember engine(TestSite site) {
        return site.engine(0);
    }

    private static void breakLink(TestSite site, LinkFaults faults) {
        site.links().between(TestSite.ALL_ENTRIES, engine(site).name()).apply(faults);
    }
}
