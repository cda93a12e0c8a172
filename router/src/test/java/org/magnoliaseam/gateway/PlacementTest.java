package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.HERE;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.prompt;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.model.BackendServerId;

/** Tests the choice of a backend server. */
class PlacementTest {

    private final ForeignLoads mForeign = new ForeignLoads();

    private final Placement mPlacement = new Placement(HERE, mForeign);

    private final List<ServerState> mEngines = states(6);

    private static List<ServerState> states(int count) {
        List<ServerState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            states.add(new ServerState(server("engine-" + i, ENGINES, false), 0));
        }
        return states;
    }

    private static GatewayRequest stream(String shared, long pause, int own) {
        return request(
                "r-" + shared, route(RequestKind.STREAM, 1, true, pause), prompt(shared, 900, own));
    }

    private ServerState choose(Placement placement, GatewayRequest request) {
        return placement.choose(request, mEngines, mEngines, 0);
    }

    /** Tests agreement between entry VMs. */
    @Nested
    class Agreement {
        @Test
        void entryVmsChooseTheSameEngineForAPromptWithoutMessages() {
            Placement other = new Placement(HERE, new ForeignLoads());
            for (int i = 0; i < 20; i++) {
                GatewayRequest request = stream("part-" + i, 200, 500);
                mPlacement.started(request, request.prompt().tokens(), 0);
                other.started(request, request.prompt().tokens(), 0);
                assertThat(choose(mPlacement, request)).isSameAs(choose(other, request));
            }
        }

        @Test
        void anEngineThatIsBusyElsewhereIsLeft() {
            GatewayRequest request = stream("part", 200, 500);
            mPlacement.started(request, request.prompt().tokens(), 0);
            ServerState home = choose(mPlacement, request);
            ServerLoad load = new ServerLoad(home.id(), 40, 100_000);
            Digest digest = new Digest(1, 1, 1, List.of(), List.of(load), List.of(), List.of());
            mForeign.heard(new PeerEndpoint("127.0.0.1", 1), digest, 0);
            assertThat(choose(mPlacement, request)).isNotSameAs(home);
            mForeign.expire(1000 * MILLI);
            assertThat(choose(mPlacement, request)).isSameAs(home);
        }
    }

    /** Tests the division between requests that bear unlike pauses. */
    @Nested
    class Division {
        private Set<BackendServerId> used(long pause, int own) {
            Set<BackendServerId> used = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                used.add(choose(mPlacement, stream("p" + pause + i, pause, own)).id());
            }
            return used;
        }

        @Test
        void requestsThatBearUnlikePausesUseDifferentEngines() {
            for (int i = 0; i < 30; i++) {
                mPlacement.started(stream("a" + i, 200, 500), 500, 0);
                mPlacement.started(stream("b" + i, 800, 5000), 5000, 0);
            }
            assertThat(used(200, 500)).doesNotContainAnyElementsOf(used(800, 5000));
        }

        @Test
        void longPromptsKeepAwayFromTheEnginesOfStrictStreamsEvenWhenBusy() {
            for (int i = 0; i < 30; i++) {
                mPlacement.started(stream("a" + i, 200, 500), 500, 0);
                mPlacement.started(stream("b" + i, 800, 5000), 5000, 0);
            }
            Set<BackendServerId> strict = used(200, 500);
            for (ServerState engine : mEngines) {
                if (!strict.contains(engine.id())) {
                    engine.start(stream("x", 800, 90_000), new VmShares(), 0);
                }
            }
            assertThat(strict).doesNotContain(choose(mPlacement, stream("new", 800, 5000)).id());
        }

        @Test
        void promptsWhoseSharedPartsHaveToBeReadGetMoreEngines() {
            for (int i = 0; i < 30; i++) {
                mPlacement.started(stream("a" + i, 200, 500), 500, 0);
                mPlacement.started(stream("b" + i, 800, 500), 500 + 20 * 900, 0);
            }
            assertThat(used(800, 500)).hasSizeGreaterThan(used(200, 500).size());
        }

        @Test
        void oneEngineServesAllKinds() {
            mPlacement.started(stream("a", 200, 500), 500, 0);
            mPlacement.started(stream("b", 800, 500), 500, 0);
            List<ServerState> one = states(1);
            GatewayRequest request = stream("b", 800, 500);
            assertThat(mPlacement.choose(request, one, one, 0)).isSameAs(one.get(0));
        }
    }

    /** Tests the budget of retries. */
    @Nested
    class Retries {
        @Test
        void aNewProcessMayRetryWithinItsShareOfTheSlack() {
            ServerBoard board = new ServerBoard(HERE, () -> new RetryLimits(0.1, 20), () -> 1);
            GatewayRequest request =
                    request("r", route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE);
            int retries = 0;
            while (board.tryRetry(request)) {
                retries++;
            }
            assertThat(retries).isBetween(1, 20 / 8);
        }
    }

    /** Tests entries that lapse while the publisher is away. */
    @Nested
    class Outage {
        private final AtomicLong mNow = new AtomicLong(1);

        private final ServerBoard mBoard =
                new ServerBoard(HERE, () -> GatewayFixtures.RETRIES, mNow::get);

        @Test
        void lapsedEntryServesUntilItsTimeToReturnIsOver() {
            mBoard.published(server("desk", DESK, false));
            mBoard.publisherReturned();
            mBoard.withdrawn(new BackendServerId("desk"));
            assertThat(mBoard.size()).isEqualTo(1);
            mNow.set(3000 * MILLI);
            mBoard.members(GatewayFixtures.members(4));
            assertThat(mBoard.size()).isZero();
        }

        @Test
        void entryThatComesBackStays() {
            mBoard.published(server("desk", DESK, false));
            mBoard.publisherReturned();
            mBoard.withdrawn(new BackendServerId("desk"));
            mBoard.published(server("desk", DESK, false));
            mNow.set(3000 * MILLI);
            mBoard.members(GatewayFixtures.members(4));
            assertThat(mBoard.size()).isEqualTo(1);
        }

        @Test
        void drainingServerIsGoneAtOnce() {
            mBoard.published(server("desk", DESK, true));
            mBoard.publisherReturned();
            mBoard.withdrawn(new BackendServerId("desk"));
            assertThat(mBoard.size()).isZero();
        }
    }

    /** Tests servers that fail or are in cold start. */
    @Nested
    class Failures {
        @Test
        void twoFailuresInARowEjectAndOneTryTestsAfterwards() {
            FailureHistory history = new FailureHistory();
            history.failed(false, 0);
            assertThat(history.ejected(0, 0)).isFalse();
            history.failed(false, 0);
            assertThat(history.ejected(0, 100 * MILLI)).isTrue();
            assertThat(history.ejected(0, 500 * MILLI)).isFalse();
            assertThat(history.ejected(1, 500 * MILLI)).isTrue();
            history.succeeded();
            assertThat(history.ejected(3, 500 * MILLI)).isFalse();
        }

        @Test
        void allEntryVmsTogetherStayBelowTheColdLimit() {
            int vms = 5;
            double perSecond = 13;
            int sent = 0;
            for (int vm = 0; vm < vms; vm++) {
                ColdAllowance allowance = new ColdAllowance(0);
                for (long t = 0; t < 1000; t++) {
                    if (allowance.take(perSecond / vms, (5000 + t) * MILLI)) {
                        sent++;
                    }
                }
            }
            assertThat(sent).isLessThanOrEqualTo((int) (perSecond + vms));
        }

        @Test
        void aServerThatVanishedWhileTriesRanDoesNotCountThemTwice() {
            ServerBoard board = new ServerBoard(HERE, () -> GatewayFixtures.RETRIES, () -> 1);
            board.published(server("desk", DESK, false));
            GatewayRequest request =
                    request("r", route(RequestKind.ONCE, 1, false, 0), Prompt.NONE);
            Choice.Start start = (Choice.Start) board.choose(request, Set.of());
            board.withdrawn(new BackendServerId("desk"));
            board.published(server("desk", DESK, false));
            board.failed(start.server(), request.service(), BackendFailure.REFUSED);
            assertThat(board.loads()).isEmpty();
        }
    }
}
