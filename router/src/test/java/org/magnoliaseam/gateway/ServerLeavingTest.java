package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.ENGINES;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.gossip.Digest;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.rollout.Revision;
import org.magnoliaseam.suspect.CrashNews;

/** Tests that backend servers that are leaving get no new requests. */
class ServerLeavingTest {

    private final AtomicLong mNow = new AtomicLong(1);

    private final RecordingBackend mBackend = new RecordingBackend();

    private final RecordingSink mSink = new RecordingSink();

    private final ServerPool mPool =
            new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

    private final GatewayParts mParts =
            new GatewayParts(
                    mPool,
                    mBackend,
                    (peer, message) -> {},
                    new RequestLog(new MetricRegistry()),
                    mNow::get);

    private final Gateway mGateway = new Gateway(mParts);

    private static ServerEntry entry(
            String id, ServiceName service, boolean draining, long startMark) {
        return new ServerEntry(
                new BackendServerId(id),
                service,
                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                OWN_DOMAIN,
                64,
                draining,
                0,
                startMark);
    }

    private void publish(String id, boolean draining, long startMark) {
        mPool.publishedServers().add(entry(id, DESK, draining, startMark));
    }

    private void submit(String id) {
        mGateway.submit(
                request(id, route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE), mSink);
    }

    private void answer(AttemptListener listener) {
        listener.head(new AnswerHead(200, List.of()));
        listener.ended();
    }

    private boolean inService() {
        GatewayRequest probe =
                request("probe", route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE);
        return mPool.choose(probe, Set.of(), false) instanceof ServerChoice.Start;
    }

    /** Tests what an answer of the backend server says. */
    @Nested
    class Answers {
        @Test
        void answerThatSaysLeavingKeepsNewRequestsAway() {
            publish("a", false, 1);
            submit("r1");
            mBackend.last().leaving();
            answer(mBackend.last());
            assertThat(mSink.mComplete).isTrue();
            assertThat(inService()).isFalse();
        }

        @Test
        void waitingRequestsGoElsewhere() {
            publish("a", false, 1);
            submit("r1");
            AttemptListener first = mBackend.last();
            first.leaving();
            publish("b", false, 1);
            submit("r2");
            assertThat(mBackend.lastOrder().server().id()).hasToString("b");
        }

        @Test
        void attemptThatIsNotSentYetIsHeldBack() {
            publish("a", false, 1);
            submit("r1");
            submit("r2");
            mBackend.mListeners.get(0).leaving();
            assertThat(mBackend.mListeners.get(1).sending()).isFalse();
        }

        @Test
        void answerOfAnEarlierStartDoesNotConcernTheLaterOne() {
            publish("a", false, 1);
            submit("r1");
            publish("a", false, 2);
            mBackend.last().leaving();
            assertThat(inService()).isTrue();
        }

        @Test
        void attemptThatWasGivenUpSaysNothing() {
            publish("a", false, 1);
            submit("r1");
            AttemptListener late = mBackend.last();
            mNow.set(6000 * MILLI);
            mGateway.tick();
            assertThat(mBackend.mCancelled).isEqualTo(1);
            late.leaving();
            assertThat(inService()).isTrue();
        }

        @Test
        void runningStreamEndsAtTheLeavingServer() {
            mPool.publishedServers().add(entry("e", ENGINES, false, 1));
            mGateway.submit(
                    request("r1", route(RequestKind.STREAM, 2, true, 200), Prompt.NONE), mSink);
            AttemptListener stream = mBackend.last();
            stream.leaving();
            stream.head(new AnswerHead(200, List.of()));
            stream.content(bytes("id: 1\ndata: x\n\n"));
            mGateway.tick();
            stream.content(bytes("id: 2\ndata: x\n\n"));
            stream.ended();
            assertThat(mBackend.mCancelled).isZero();
            assertThat(mSink.mComplete).isTrue();
        }

        @Test
        void streamCutByTheExitIsResumedElsewhere() {
            mPool.publishedServers().add(entry("e", ENGINES, false, 1));
            mGateway.submit(
                    request("r1", route(RequestKind.STREAM, 2, true, 200), Prompt.NONE), mSink);
            AttemptListener stream = mBackend.last();
            stream.head(new AnswerHead(200, List.of()));
            stream.content(bytes("id: 1\ndata: x\n\n"));
            stream.leaving();
            mPool.publishedServers().add(entry("f", ENGINES, false, 1));
            stream.failed(BackendFailure.CONNECTION_LOST, "exit");
            assertThat(mBackend.lastOrder().server().id()).hasToString("f");
            assertThat(mBackend.lastOrder().lastEventId()).isEqualTo("1");
        }

        private ByteBuffer bytes(String text) {
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Tests what other entry VMs report. */
    @Nested
    class Peers {
        private final PeerEndpoint mPeer = new PeerEndpoint("10.0.0.2", 1);

        /** Delivers a digest of one pool to another one. */
        private void report(ServerPool from, ServerPool to) {
            Digest digest =
                    new Digest(
                            1,
                            1,
                            2,
                            Revision.NONE,
                            List.of(),
                            from.loads(),
                            List.of(),
                            List.of(),
                            from.recentlyLeaving(3),
                            List.of(),
                            CrashNews.NONE);
            new PoolGossip(to, new PublishedRevision()).heard(mPeer, digest);
        }

        private ServerPool pool() {
            return new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);
        }

        @Test
        void serverThatAPeerWasToldLeavesGetsNothingAlthoughTheStoreIsDark() {
            ServerPool peer = pool();
            peer.publishedServers().add(entry("a", DESK, true, 1));
            publish("a", false, 1);
            report(peer, mPool);
            assertThat(inService()).isFalse();
        }

        @Test
        void reportIsPassedOn() {
            ServerPool first = pool();
            ServerPool second = pool();
            first.publishedServers().add(entry("a", DESK, true, 1));
            publish("a", false, 1);
            report(first, second);
            report(second, mPool);
            assertThat(inService()).isFalse();
        }

        @Test
        void reportBeforeTheEntryHolds() {
            ServerPool peer = pool();
            peer.publishedServers().add(entry("a", DESK, true, 1));
            report(peer, mPool);
            publish("a", false, 1);
            assertThat(inService()).isFalse();
        }

        @Test
        void reportOfAnEarlierStartDoesNotConcernTheLaterOne() {
            ServerPool peer = pool();
            peer.publishedServers().add(entry("a", DESK, true, 1));
            publish("a", false, 2);
            report(peer, mPool);
            assertThat(inService()).isTrue();
        }
    }

    /** Tests entries that contradict what was known. */
    @Nested
    class Entries {
        @Test
        void readyEntryAfterDrainingDoesNotBringTheServerBack() {
            publish("a", true, 1);
            publish("a", false, 1);
            assertThat(inService()).isFalse();
        }

        @Test
        void readyEntryAfterAnAnswerDoesNotBringTheServerBack() {
            publish("a", false, 1);
            submit("r1");
            mBackend.last().leaving();
            publish("a", false, 1);
            assertThat(inService()).isFalse();
        }

        @Test
        void serverThatWasRemovedAndIsPublishedAgainStaysLeaving() {
            publish("a", true, 1);
            mPool.publishedServers().withdraw(new BackendServerId("a"));
            publish("a", false, 1);
            assertThat(inService()).isFalse();
        }

        @Test
        void laterStartUnderTheSameIdIsInService() {
            publish("a", true, 1);
            publish("a", false, 2);
            assertThat(inService()).isTrue();
            assertThat(mPool.notices().leavingEnded()).isEqualTo(1);
        }

        @Test
        void entryOfAnEarlierStartIsIgnored() {
            publish("a", false, 2);
            publish("a", true, 1);
            assertThat(inService()).isTrue();
        }

        @Test
        void anotherServerAtTheSameAddressIsInService() {
            publish("a", true, 1);
            publish("b", false, 1);
            assertThat(inService()).isTrue();
        }

        @Test
        void laterStartKnowsNothingOfTheFailuresBefore() {
            publish("a", false, 1);
            submit("r1");
            mBackend.last().failed(BackendFailure.NOT_SENT, "refused");
            publish("a", false, 2);
            assertThat(choose().server().failures().rate()).isZero();
        }

        private ServerChoice.Start choose() {
            GatewayRequest probe =
                    request("probe", route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE);
            return (ServerChoice.Start) mPool.choose(probe, Set.of(), false);
        }
    }
}
