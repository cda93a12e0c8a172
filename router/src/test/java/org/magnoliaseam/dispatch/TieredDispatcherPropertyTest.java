package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.magnoliaseam.settings.DispatchPolicy;

/** Checks the dispatch rules with random arrivals, withdrawals and changes of slots. */
class TieredDispatcherPropertyTest {

    private static final long MILLI = FleetBuilder.MILLI;
    private static final List<String> CLASSES = List.of("quay", "chat", "review", "pay", "note");
    private static final List<String> SERVERS = List.of("e-1", "e-2", "e-3");

    /** Describes one random event. */
    record Step(int kind, int requestClass, int account, int gapMillis, int millis, int server) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 19),
                        Arbitraries.integers().between(0, CLASSES.size() - 1),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 120),
                        Arbitraries.integers().between(1, 4_000),
                        Arbitraries.integers().between(0, SERVERS.size() - 1))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(150);
    }

    @Property(seed = "4711", tries = 150)
    void keepsRulesOnOneEntryVm(@ForAll("steps") List<Step> steps) {
        check(steps, 1);
    }

    @Property(seed = "4712", tries = 60)
    void keepsRulesOnThreeEntryVms(@ForAll("steps") List<Step> steps) {
        check(steps, 3);
    }

    private void check(List<Step> steps, int entries) {
        SimulatedSite site = new SimulatedSite();
        for (int i = 1; i <= entries; i++) {
            Dispatcher dispatcher = Dispatchers.create(DispatchPolicy.TIERED, i);
            site.entry("entry-" + i, dispatcher, fleet());
        }
        site.startHeartbeats();
        long now = 0;
        for (int i = 0; i < steps.size(); i++) {
            now += steps.get(i).gapMillis() * MILLI;
            schedule(site, "r" + i, steps.get(i), now);
        }
        site.run(now + 400_000 * MILLI);
        assertThat(site.mViolations).isEmpty();
        assertThat(site.mRequests.values()).allMatch(SimulatedRequest::ended);
        assertThat(site.mEntries)
                .allMatch(
                        entry ->
                                entry.mDispatcher.pressure(0).stream()
                                        .allMatch(
                                                tier -> tier.queued() == 0 && tier.running() == 0));
    }

    private static FleetBuilder fleet() {
        return new FleetBuilder()
                .requestClass("quay", 1, 0, "e-1", "e-2")
                .requestClass("chat", 2, 0.1, "e-1", "e-2", "e-3")
                .requestClass("review", 3, 0.05, "e-2", "e-3")
                .requestClass("pay", 3, 0, false, "e-1", "e-3")
                .requestClass("note", 3, 0, "e-1")
                .queueLimit(12)
                .server("e-1", 2)
                .server("e-2", 1)
                .server("e-3", 1);
    }

    private static void schedule(SimulatedSite site, String id, Step step, long now) {
        SimulatedEntry entry = site.mEntries.get(step.account() % site.mEntries.size());
        String server = SERVERS.get(step.server());
        if (step.kind() == 0) {
            site.at(
                    now,
                    () -> {
                        entry.mFleet.server(server, step.millis() % 4);
                        site.refresh(entry);
                    });
            return;
        }
        String account = "account-" + step.account();
        WorkItem work = entry.mFleet.work(id, CLASSES.get(step.requestClass()), account, now);
        if (step.kind() == 1) {
            work = FleetBuilder.excluding(work, server);
        } else if (step.kind() == 2) {
            work = FleetBuilder.withState(work, false, false, false);
        }
        site.arrive(entry, work, step.millis() * MILLI);
        if (step.kind() == 3) {
            site.withdraw(work.id(), now + step.millis() * MILLI / 2);
        }
    }
}
