package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.route;
import static org.magnoliaseam.gateway.GatewayFixtures.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.BackendServerId;

/** Tests how requests are treated that crash backend servers, through the gateway. */
class CrashGuardCallTest extends CrashGuardFixture {

    /** Tests requests that arrive after the cause has been found. */
    @Nested
    class Refused {
        @Test
        void requestIsRefusedAsNotRunBeforeItIsSent() {
            findCause();
            int sent = mBackend.mOrders.size();
            RecordingSink sink = submit("c3", "crashing");
            assertThat(mBackend.mOrders).hasSize(sent);
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.CRASHING_REQUEST);
            assertThat(sink.mRefusal.kind().executed()).isEqualTo(Executed.NO);
            assertThat(sink.mRetryAfterMillis).isEqualTo(60_000);
        }

        @Test
        void requestThatMayHaveRunIsNotRefusedAsNotRun() {
            submit("c1", "crashing");
            crash();
            crash();
            RecordingSink sink = submit("c2", "crashing");
            crash();
            assertThat(sink.mRefusal.kind().executed()).isNotEqualTo(Executed.NO);
            assertThat(mBackend.mOrders).hasSize(3);
        }

        @Test
        void plainRequestThatIsSentAgainIsRefusedAfterTheThirdCrash() {
            for (String id : List.of("x", "y", "z", "w")) {
                mPool.publishedServers().add(server(id, GatewayFixtures.DESK, false));
            }
            RecordingSink sink = null;
            for (int sent = 1; sent <= 6; sent++) {
                sink = new RecordingSink();
                Route once = route(RequestKind.REPEATABLE, 1, false, 0);
                mGateway.submit(GatewayFixtures.request("r" + sent, once, Prompt.NONE), sink);
                if (sink.mRefusal == null) {
                    crash();
                }
            }
            assertThat(mBackend.mOrders).hasSize(3);
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.CRASHING_REQUEST);
        }

        @Test
        void soundRequestsBesideItAreServed() {
            findCause();
            RecordingSink sink = submit("s1", "sound");
            answer();
            assertThat(sink.mComplete).isTrue();
        }

        @Test
        void requestOnItsWayIsGivenUpWhenTheCauseIsFound() {
            RecordingSink early = submit("early", "crashing");
            CrashGuard elsewhere = new CrashGuard(mNow::get);
            for (int i = 0; i < 3; i++) {
                mNow.addAndGet(50 * MILLI);
                elsewhere.lost(
                        new ServerIncarnation(new BackendServerId("x" + i), 1),
                        OWN_DOMAIN,
                        request("o" + i, "crashing"),
                        mNow.get() - MILLI);
            }
            mPool.crashes().heard(elsewhere.news(3));
            mGateway.tick();
            assertThat(mBackend.mCancelled).isEqualTo(1);
            assertThat(early.mRefusal.kind().executed()).isNotEqualTo(Executed.NO);
            assertThat(submit("late", "crashing").mRefusal.kind())
                    .isEqualTo(ErrorKind.CRASHING_REQUEST);
        }
    }

    /** Tests requests that crash a backend server some time after their first event. */
    @Nested
    class Late {
        /** Sends a request of which each attempt is lost after some events. */
        private RecordingSink crashLate(String id, long eventMillis) {
            int before = mBackend.mListeners.size();
            RecordingSink sink = submit(id, "shared");
            for (int i = before; i < mBackend.mListeners.size(); i++) {
                mNow.addAndGet(100 * MILLI);
                mBackend.last().head(new AnswerHead(200, List.of()));
                mBackend.last().content(event(1));
                mNow.addAndGet(eventMillis * MILLI);
                mBackend.last().content(event(2));
                crash();
            }
            return sink;
        }

        private ByteBuffer event(int id) {
            String text = "id: " + id + "\ndata: x\n\n";
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Review case 12: such requests were never recognised. */
        @Test
        void requestThatCrashesServersAfterItsFirstEventsIsRefused() {
            RecordingSink sink = null;
            for (int i = 0; i < 10; i++) {
                sink = crashLate("late", 400);
                mNow.addAndGet(500 * MILLI);
            }
            assertThat(mBackend.mOrders).hasSize(4);
            assertThat(sink.mRefusal.kind()).isEqualTo(ErrorKind.CRASHING_REQUEST);
        }

        @Test
        void requestThatCrashesServersAtAnotherTimeEachIsRefused() {
            for (int i = 0; i < 10; i++) {
                crashLate("late", i % 2 == 0 ? 2000 : 10);
                mNow.addAndGet(500 * MILLI);
            }
            assertThat(mBackend.mOrders).hasSize(4);
        }

        @Test
        void requestThatIsAnsweredAfterThreeCrashesIsServed() {
            crashLate("late", 400);
            int before = mBackend.mOrders.size();
            submit("late", "shared");
            crash();
            assertThat(mBackend.mOrders).hasSize(before + 2);
            answer();
            assertThat(mPool.crashes().guards(request("late", "shared"))).isFalse();
        }
    }

    /** Tests what the other entry VMs are told. */
    @Nested
    class News {
        @Test
        void entryVmThatHasAnsweredTheRequestTellsTheOthers() {
            CrashGuard here = new CrashGuard(mNow::get);
            CrashGuard there = new CrashGuard(mNow::get);
            GatewayRequest usual =
                    GatewayFixtures.request(
                            "r", route(RequestKind.REPEATABLE, 1, false, 0), Prompt.NONE);
            there.answered(usual);
            for (int crash = 0; crash < 5; crash++) {
                mNow.addAndGet(200 * MILLI);
                ServerIncarnation server =
                        new ServerIncarnation(new BackendServerId("x" + crash), 1);
                here.lost(server, OWN_DOMAIN, usual, mNow.get() - MILLI);
            }
            assertThat(here.refuses(usual)).isTrue();
            there.heard(here.news(3));
            here.heard(there.news(3));
            assertThat(here.refuses(usual)).isFalse();
        }

        @Test
        void crashIsToldAtOnceThoughManyRequestsWereLostAtTheOnesBefore() {
            CrashGuard here = new CrashGuard(mNow::get);
            CrashGuard there = new CrashGuard(mNow::get);
            for (int crash = 0; crash < 3; crash++) {
                mNow.addAndGet(200 * MILLI);
                ServerIncarnation server =
                        new ServerIncarnation(new BackendServerId("x" + crash), 1);
                for (int i = 0; i < 15; i++) {
                    String id = crash + "-" + i;
                    here.lost(server, OWN_DOMAIN, request(id, "part" + id), mNow.get() - MILLI);
                }
                here.lost(server, OWN_DOMAIN, request("c" + crash, "crashing"), mNow.get() - MILLI);
            }
            there.heard(here.news(3));
            assertThat(there.refuses(request("c9", "crashing"))).isTrue();
        }
    }

    /** Tests requests that may have crashed a backend server. */
    @Nested
    class Guarded {
        @Test
        void secondRequestWithTheMarkWaitsForTheFirst() {
            submit("c1", "part");
            crash();
            assertThat(mBackend.mOrders).hasSize(2);
            RecordingSink second = submit("c2", "part");
            assertThat(mBackend.mOrders).hasSize(2);
            answer();
            assertThat(mBackend.mOrders).hasSize(3);
            answer();
            assertThat(second.mComplete).isTrue();
        }

        @Test
        void waitOfAGuardedRequestDoesNotBlockOthers() {
            submit("c1", "part");
            crash();
            submit("c2", "part");
            RecordingSink sound = submit("s1", "sound");
            answer();
            assertThat(sound.mComplete).isTrue();
        }

        @Test
        void serverThatStreamsOnWhenAConnectionIsLostHasNotCrashed() {
            submit("s0", "sound");
            int first = mBackend.mListeners.size() - 1;
            String server = mBackend.lastOrder().server().id().value();
            mBackend.last().head(new AnswerHead(200, List.of()));
            event(first, 1);
            RecordingSink lost = null;
            for (int i = 0; lost == null; i++) {
                RecordingSink sink = submit("c" + i, "part" + i);
                if (mBackend.lastOrder().server().id().value().equals(server)) {
                    lost = sink;
                } else {
                    answer();
                }
            }
            crash();
            assertThat(mPool.crashes().guards(mBackend.lastOrder().request())).isTrue();
            mNow.addAndGet(200 * MILLI);
            event(first, 2);
            assertThat(mPool.crashes().guards(mBackend.lastOrder().request())).isFalse();
        }

        private void event(int attempt, int id) {
            String text = "id: " + id + "\ndata: x\n\n";
            mBackend.mListeners
                    .get(attempt)
                    .content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }
    }
}
