package org.magnoliaseam.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.dispatch.TieredDispatcherTest.summarize;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.settings.DispatchPolicy;

/** Tests the FIFO dispatcher. */
class FifoDispatcherTest {

    private final FleetBuilder mFleet =
            new FleetBuilder()
                    .requestClass("quay", 1, 0, "e-1", "e-2")
                    .requestClass("review", 3, 0, "e-1", "e-2")
                    .server("e-1", 1)
                    .server("e-2", 1);

    private String start(Dispatcher dispatcher, String id) {
        Decision.Start start =
                (Decision.Start) dispatcher.offer(mFleet.work(id, "review", "x", 0), 0).get(0);
        return start.server().value();
    }

    private void report(String name, int running) {
        ServerView old = mFleet.build().servers().get(new BackendServerId(name));
        Optional<LoadReport> report =
                Optional.of(new LoadReport(new StartId("s"), running, 0, false, 0));
        mFleet.view(new ServerView(old.server(), 4, false, "warm", report, 50, 20));
    }

    /** Tests the choice of servers. */
    @Nested
    class Placements {

        @Test
        void rotatesOverServers() {
            Dispatcher dispatcher = Dispatchers.create(DispatchPolicy.ROUND_ROBIN_FIFO, 1);
            dispatcher.update(mFleet.server("e-1", 2).server("e-2", 2).build(), 0);
            assertThat(start(dispatcher, "a")).isNotEqualTo(start(dispatcher, "b"));
            assertThat(start(dispatcher, "c")).isNotEqualTo(start(dispatcher, "d"));
        }

        @Test
        void choosesLeastReportedLoadEvenIfReportIsOld() {
            Dispatcher dispatcher = Dispatchers.create(DispatchPolicy.LEAST_REPORTED_LOAD_FIFO, 1);
            report("e-1", 2);
            report("e-2", 1);
            dispatcher.update(mFleet.build(), 0);
            assertThat(start(dispatcher, "a")).isEqualTo("e-2");
            assertThat(start(dispatcher, "b")).isEqualTo("e-2");
        }
    }

    @Test
    void startsInOrderOfArrivalRegardlessOfTier() {
        Dispatcher dispatcher = Dispatchers.create(DispatchPolicy.ROUND_ROBIN_FIFO, 1);
        dispatcher.update(mFleet.withoutServer("e-2").build(), 0);
        start(dispatcher, "a");
        dispatcher.offer(mFleet.work("low", "review", "x", 0), 0);
        dispatcher.offer(mFleet.work("high", "quay", "x", 0), 0);
        assertThat(summarize(dispatcher.finished(mFleet.work("a", "review", "x", 0).id(), 1)))
                .containsExactly("Start:low");
        Decision refusal = dispatcher.tick(10_000 * FleetBuilder.MILLI).get(0);
        assertThat(((Decision.Refuse) refusal).kind()).isEqualTo(ErrorKind.QUEUE_TIMEOUT);
    }
}
