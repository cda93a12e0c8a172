package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.prompt;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.gossip.ServerLoad;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.placement.PromptTimeModel;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.suspect.CrashNews;

/** Tests the selection of a backend server. */
class ServerSelectorTest {

    private final PeerLoads mPeerLoads = new PeerLoads();

    private final ServerSelector mSelector =
            new ServerSelector(OWN_DOMAIN, mPeerLoads, new VmShares());

    private final List<BackendServerState> mEngines = states(6);

    private static List<BackendServerState> states(int count) {
        List<BackendServerState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            states.add(
                    new BackendServerState(
                            server("engine-" + i, ENGINES, false),
                            new ServiceTimes(new PromptTimeModel()),
                            0));
        }
        return states;
    }

    private static GatewayRequest stream(String shared, long pause, int own) {
        return request(
                "r-" + shared, route(RequestKind.STREAM, 1, true, pause), prompt(shared, 900, own));
    }

    private BackendServerState choose(ServerSelector selector, GatewayRequest request) {
        return selector.choose(request, mEngines, mEngines, 0);
    }

    /** Tests agreement between entry VMs. */
    @Nested
    class Agreement {
        @Test
        void entryVmsAgreeOnTheEngineForAPrompt() {
            ServerSelector other = new ServerSelector(OWN_DOMAIN, new PeerLoads(), new VmShares());
            for (int i = 0; i < 20; i++) {
                GatewayRequest request = stream("part-" + i, 200, 500);
                mSelector.started(request, request.prompt().tokens(), 0);
                other.started(request, request.prompt().tokens(), 0);
                assertThat(choose(mSelector, request)).isSameAs(choose(other, request));
            }
        }

        @Test
        void engineThatIsBusyWithRequestsOfPeersIsAvoided() {
            GatewayRequest request = stream("part", 200, 500);
            mSelector.started(request, request.prompt().tokens(), 0);
            BackendServerState preferred = choose(mSelector, request);
            ServerLoad load = new ServerLoad(preferred.id(), 40, 100_000);
            Digest digest =
                    new Digest(
                            1,
                            1,
                            1,
                            Revision.NONE,
                            List.of(),
                            List.of(load),
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            CrashNews.NONE);
            mPeerLoads.heard(new PeerEndpoint("127.0.0.1", 1), digest, 0);
            assertThat(choose(mSelector, request)).isNotSameAs(preferred);
            mPeerLoads.expire(1000 * MILLI);
            assertThat(choose(mSelector, request)).isSameAs(preferred);
        }
    }

    /** Tests the division of engines between requests that tolerate different pauses. */
    @Nested
    class Division {
        private Set<BackendServerId> used(long pause, int own) {
            Set<BackendServerId> used = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                used.add(choose(mSelector, stream("p" + pause + i, pause, own)).id());
            }
            return used;
        }

        @Test
        void requestsWithDifferentPauseTargetsUseDifferentEngines() {
            for (int i = 0; i < 30; i++) {
                mSelector.started(stream("a" + i, 200, 500), 500, 0);
                mSelector.started(stream("b" + i, 800, 5000), 5000, 0);
            }
            assertThat(used(200, 500)).doesNotContainAnyElementsOf(used(800, 5000));
        }

        @Test
        void longPromptsAvoidEnginesOfStrictStreamsEvenUnderLoad() {
            for (int i = 0; i < 30; i++) {
                mSelector.started(stream("a" + i, 200, 500), 500, 0);
                mSelector.started(stream("b" + i, 800, 5000), 5000, 0);
            }
            Set<BackendServerId> strict = used(200, 500);
            for (BackendServerState engine : mEngines) {
                if (!strict.contains(engine.id())) {
                    GatewayRequest other = stream("x", 800, 90_000);
                    long tokens = engine.uncachedTokens(other.prompt());
                    engine.start(other, new VmShares(), tokens, 0);
                }
            }
            assertThat(strict).doesNotContain(choose(mSelector, stream("new", 800, 5000)).id());
        }

        @Test
        void promptsWithUncachedSharedPartsGetMoreEngines() {
            for (int i = 0; i < 30; i++) {
                mSelector.started(stream("a" + i, 200, 500), 500, 0);
                mSelector.started(stream("b" + i, 800, 500), 500 + 20 * 900, 0);
            }
            assertThat(used(800, 500)).hasSizeGreaterThan(used(200, 500).size());
        }

        @Test
        void oneEngineServesAllKindsOfRequests() {
            mSelector.started(stream("a", 200, 500), 500, 0);
            mSelector.started(stream("b", 800, 500), 500, 0);
            List<BackendServerState> one = states(1);
            GatewayRequest request = stream("b", 800, 500);
            assertThat(mSelector.choose(request, one, one, 0)).isSameAs(one.get(0));
        }
    }

    /** Tests the budget of retries. */
    @Nested
    class Retries {
        @Test
        void newProcessMayRetryWithinItsShareOfTheSlack() {
            ServerPool pool = new ServerPool(OWN_DOMAIN, () -> new RetryLimits(0.1, 20), () -> 1);
            GatewayRequest request =
                    request("r", route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE);
            int retries = 0;
            while (pool.retries().take(request)) {
                retries++;
            }
            assertThat(retries).isBetween(1, 20 / 8);
        }
    }

    /** Tests entries that expire during an outage of the publisher. */
    @Nested
    class Outage {
        private final AtomicLong mNow = new AtomicLong(1);

        private final ServerPool mPool =
                new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

        @Test
        void expiredEntryIsKeptUntilTheRepublicationTimeEnds() {
            mPool.publishedServers().add(server("desk", DESK, false));
            mPool.publishedServers().publisherReturned();
            mPool.publishedServers().withdraw(new BackendServerId("desk"));
            assertThat(mPool.size()).isEqualTo(1);
            mNow.set(3000 * MILLI);
            mPool.members(GatewayFixtures.members(4));
            assertThat(mPool.size()).isZero();
        }

        @Test
        void republishedEntryIsKept() {
            mPool.publishedServers().add(server("desk", DESK, false));
            mPool.publishedServers().publisherReturned();
            mPool.publishedServers().withdraw(new BackendServerId("desk"));
            mPool.publishedServers().add(server("desk", DESK, false));
            mNow.set(3000 * MILLI);
            mPool.members(GatewayFixtures.members(4));
            assertThat(mPool.size()).isEqualTo(1);
        }

        @Test
        void drainingServerIsRemovedAtOnce() {
            mPool.publishedServers().add(server("desk", DESK, true));
            mPool.publishedServers().publisherReturned();
            mPool.publishedServers().withdraw(new BackendServerId("desk"));
            assertThat(mPool.size()).isZero();
        }
    }

    /** Tests servers that fail or are in cold start. */
    @Nested
    class Failures {
        @Test
        void twoConsecutiveFailuresEjectAndOneAttemptProbesAfterwards() {
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
                ColdStartLimiter limiter = new ColdStartLimiter(0);
                for (long t = 0; t < 1000; t++) {
                    if (limiter.take(perSecond / vms, (5000 + t) * MILLI)) {
                        sent++;
                    }
                }
            }
            assertThat(sent).isLessThanOrEqualTo((int) (perSecond + vms));
        }

        @Test
        void serverRepublishedDuringAnAttemptDoesNotCountItTwice() {
            ServerPool pool = new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, () -> 1);
            pool.publishedServers().add(server("desk", DESK, false));
            GatewayRequest request =
                    request("r", route(RequestKind.ONCE, 1, false, 0), Prompt.NONE);
            ServerChoice.Start start = (ServerChoice.Start) pool.choose(request, Set.of(), true);
            pool.publishedServers().withdraw(new BackendServerId("desk"));
            pool.publishedServers().add(server("desk", DESK, false));
            pool.feedback(start, request).failed(BackendFailure.REFUSED);
            assertThat(pool.loads()).isEmpty();
        }
    }

    /** Tests requests whose engines have no room. */
    @Nested
    class NoRoom {
        private final ServerPool mPool =
                new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, () -> 1);

        @BeforeEach
        void publishEngines() {
            for (int i = 0; i < 6; i++) {
                mPool.publishedServers().add(server("engine-" + i, ENGINES, false));
            }
        }

        private ServerChoice.Start start(GatewayRequest request) {
            return (ServerChoice.Start) mPool.choose(request, Set.of(), true);
        }

        @Test
        void longPromptWaitsInsteadOfUsingEnginesOfStrictStreams() {
            GatewayRequest longPrompt = stream("b", 800, 5000);
            start(stream("a", 200, 500));
            ServerChoice choice = mPool.choose(longPrompt, Set.of(), false);
            int refused = 0;
            while (choice instanceof ServerChoice.Start start) {
                mPool.feedback(start, longPrompt).permitRefused(1_000_000);
                refused++;
                choice = mPool.choose(longPrompt, Set.of(), false);
            }
            assertThat(choice)
                    .isEqualTo(new ServerChoice.Wait(ErrorKind.OVERLOADED, false, false, 1, 0));
            assertThat(refused).isBetween(1, 5);
        }

        @Test
        void requestWaitsForTheEngineThatCachesItsPromptBeforeItLeavesIt() {
            GatewayRequest request = stream("part", 200, 500);
            ServerChoice.Start first = start(request);
            mPool.feedback(first, request).permitRefused(100);
            ServerChoice.Wait wait = (ServerChoice.Wait) mPool.choose(request, Set.of(), true);
            assertThat(wait)
                    .isEqualTo(
                            new ServerChoice.Wait(
                                    ErrorKind.OVERLOADED, true, false, 1, 0, wait.wanted()));
            assertThat(wait.wanted().orElseThrow().isStillFull(request)).isTrue();
            ServerChoice.Start other = (ServerChoice.Start) mPool.choose(request, Set.of(), false);
            assertThat(other.server()).isNotSameAs(first.server());
        }
    }
}
