package org.magnoliaseam.permit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.gossip.Membership;
import org.magnoliaseam.gossip.PeerEndpoint;
import org.magnoliaseam.model.BackendServerId;

/** Tests the permits that entry VMs ask of each other. */
class PermitTest {

    private static final long MILLI = 1_000_000L;

    private static final BackendServerId ENGINE = new BackendServerId("engine-1");

    private static final PeerEndpoint FIRST = vm(1);

    private static final PeerEndpoint SECOND = vm(2);

    private static PeerEndpoint vm(int number) {
        return new PeerEndpoint("10.0.0." + number, 1);
    }

    private static PermitMessage.Ask ask(long id, int priority, long tokens, long limit) {
        return new PermitMessage.Ask(id, ENGINE, priority, tokens, limit, limit, false);
    }

    /** Tests the count of waiting prompts. */
    @Nested
    class Ledger {
        private final PermitLedger mLedger = new PermitLedger();

        @Test
        void permitsOfAllVmsCountAgainstTheLimit() {
            assertThat(mLedger.ask(FIRST, ask(1, 0, 600, 500), 0).granted()).isTrue();
            PermitMessage.Reply reply = mLedger.ask(SECOND, ask(1, 0, 600, 500), 0);
            assertThat(reply.granted()).isFalse();
            assertThat(reply.waitingTokens()).isEqualTo(600);
        }

        @Test
        void endedPermitNoLongerCounts() {
            mLedger.ask(FIRST, ask(1, 0, 600, 500), 0);
            mLedger.done(FIRST, new PermitMessage.Done(1, ENGINE));
            assertThat(mLedger.ask(SECOND, ask(1, 0, 600, 500), 0).waitingTokens()).isZero();
        }

        @Test
        void repeatedQuestionCountsOnce() {
            mLedger.ask(FIRST, ask(1, 0, 600, 5000), 0);
            mLedger.ask(FIRST, ask(1, 0, 600, 5000), 0);
            assertThat(mLedger.ask(SECOND, ask(2, 0, 1, 5000), 0).waitingTokens()).isEqualTo(600);
        }

        @Test
        void permitWhoseNoticeIsLostExpires() {
            mLedger.ask(FIRST, ask(1, 0, 600, 500), 0);
            assertThat(mLedger.ask(SECOND, ask(1, 0, 1, 500), 3001 * MILLI).granted()).isTrue();
        }

        @Test
        void moreUrgentRequestOfAnotherVmComesFirst() {
            mLedger.ask(FIRST, ask(1, 0, 600, 500), 0);
            assertThat(mLedger.ask(FIRST, ask(2, 0, 100, 500), MILLI).granted()).isFalse();
            mLedger.done(FIRST, new PermitMessage.Done(1, ENGINE));
            assertThat(mLedger.ask(SECOND, ask(1, 2, 600, 500), 2 * MILLI).granted()).isFalse();
            assertThat(mLedger.ask(FIRST, ask(3, 0, 100, 500), 3 * MILLI).granted()).isTrue();
            assertThat(mLedger.ask(SECOND, ask(2, 2, 600, 500), 4 * MILLI).granted()).isTrue();
        }

        @Test
        void sharedLimitHoldsWhileMoreUrgentRequestsUseTheEngine() {
            PermitMessage.Ask less = new PermitMessage.Ask(1, ENGINE, 2, 100, 5000, 500, false);
            mLedger.ask(FIRST, ask(1, 0, 600, 500), 0);
            assertThat(mLedger.ask(SECOND, less, MILLI).granted()).isFalse();
            assertThat(mLedger.ask(SECOND, less, 2001 * MILLI).granted()).isTrue();
        }

        @Test
        void oneGuardedRequestOfAllVmsIsAtAnEngine() {
            PermitMessage.Ask guarded = new PermitMessage.Ask(1, ENGINE, 1, 10, 500, 500, true);
            assertThat(mLedger.ask(FIRST, guarded, 0).granted()).isTrue();
            assertThat(mLedger.ask(FIRST, guarded, 0).granted()).isTrue();
            assertThat(mLedger.ask(SECOND, guarded, 0).granted()).isFalse();
            assertThat(mLedger.ask(SECOND, ask(2, 2, 10, 500), 0).granted()).isTrue();
            mLedger.done(FIRST, new PermitMessage.Done(1, ENGINE));
            assertThat(mLedger.ask(SECOND, guarded, 0).granted()).isTrue();
        }

        @Test
        void withdrawnClaimNoLongerCounts() {
            mLedger.ask(FIRST, ask(1, 0, 600, 500), 0);
            mLedger.ask(FIRST, ask(2, 0, 100, 500), 0);
            mLedger.done(FIRST, new PermitMessage.Done(1, ENGINE));
            mLedger.done(FIRST, new PermitMessage.Done(2, ENGINE));
            assertThat(mLedger.ask(SECOND, ask(1, 2, 1, 500), MILLI).granted()).isTrue();
        }

        @Test
        void claimThatIsNotRenewedExpires() {
            mLedger.ask(FIRST, ask(1, 0, 600, 500), 0);
            mLedger.ask(FIRST, ask(2, 0, 100, 500), 0);
            mLedger.done(FIRST, new PermitMessage.Done(1, ENGINE));
            assertThat(mLedger.ask(SECOND, ask(1, 2, 1, 500), 101 * MILLI).granted()).isTrue();
        }

        @Test
        void lessUrgentRequestsGetAShare() {
            int granted = 0;
            for (int i = 0; i < 80; i++) {
                long now = i * MILLI;
                mLedger.ask(FIRST, ask(1000 + i, 0, 600, -1), now);
                PermitMessage.Reply less = mLedger.ask(SECOND, ask(i, 2, 1, 5000), now);
                granted += less.granted() ? 1 : 0;
                if (!less.granted()) {
                    mLedger.ask(vm(3), ask(i, 0, 0, 5000), now);
                }
            }
            assertThat(granted).isBetween(8, 12);
        }
    }

    /** Tests the questions of one entry VM to another one, with messages that may be lost. */
    @Nested
    class Questions {
        private final AtomicLong mNow = new AtomicLong(1);

        private final Map<PeerEndpoint, EnginePermits> mVms = new HashMap<>();

        private final List<PermitOutcome> mOutcomes = new ArrayList<>();

        private final Random mRandom = new Random(1);

        private boolean mLossy;

        private EnginePermits permits(int own) {
            Set<PeerEndpoint> others = new HashSet<>();
            for (int vm = 1; vm <= 9; vm++) {
                if (vm != own) {
                    others.add(vm(vm));
                }
            }
            Membership members = new Membership(vm(own), others, 9, true);
            return new EnginePermits(
                    new PermitIds(mRandom),
                    (peer, message) -> {
                        if (!mLossy) {
                            mVms.get(peer).heard(vm(own), message);
                        }
                    },
                    () -> members,
                    new FailureLog(new MetricRegistry(), mNow::get),
                    mNow::get);
        }

        private void start() {
            for (int vm = 1; vm <= 9; vm++) {
                mVms.put(vm(vm), permits(vm));
            }
        }

        @Test
        void allVmsShareTheLimitOfEachEngine() {
            start();
            for (int vm = 1; vm <= 9; vm++) {
                mVms.get(vm(vm)).ask(ask(vm, 0, 300, 500), mOutcomes::add);
            }
            assertThat(mOutcomes).filteredOn(PermitOutcome.Granted.class::isInstance).hasSize(2);
            assertThat(mOutcomes).filteredOn(PermitOutcome.Busy.class::isInstance).hasSize(7);
        }

        @Test
        void permitsOfAnEarlierStartOfAVmCountBesideThoseOfTheLaterOne() {
            start();
            EnginePermits earlier = mVms.get(SECOND);
            earlier.ask(ask(earlier.nextId(), 0, 600, 500), mOutcomes::add);
            mVms.put(SECOND, permits(2));
            EnginePermits later = mVms.get(SECOND);
            later.ask(ask(later.nextId(), 0, 600, 500), mOutcomes::add);
            assertThat(mOutcomes).hasSize(2);
            assertThat(mOutcomes.get(1)).isInstanceOf(PermitOutcome.Busy.class);
        }

        @Test
        void endedPermitsMakeRoomForOtherVms() {
            start();
            mVms.get(FIRST).ask(ask(1, 0, 600, 500), mOutcomes::add);
            mVms.get(FIRST).done(new PermitMessage.Done(1, ENGINE));
            mVms.get(SECOND).ask(ask(1, 0, 600, 500), mOutcomes::add);
            assertThat(mOutcomes).allMatch(PermitOutcome.Granted.class::isInstance);
        }

        @Test
        void silentHomeDelaysNoRequestForLong() {
            start();
            mLossy = true;
            for (int engine = 0; engine < 20; engine++) {
                BackendServerId server = new BackendServerId("e" + engine);
                mVms.get(FIRST)
                        .ask(
                                new PermitMessage.Ask(engine, server, 0, 1, 1, 1, false),
                                mOutcomes::add);
            }
            mNow.addAndGet(25 * MILLI);
            mVms.get(FIRST).tick();
            assertThat(mOutcomes).hasSize(20);
            assertThat(mOutcomes).anyMatch(PermitOutcome.Unknown.class::isInstance);
        }

        @Test
        void outcomeThatFailsDoesNotKeepTheOthersFromTheirOutcome() {
            start();
            mLossy = true;
            for (int engine = 0; engine < 20; engine++) {
                BackendServerId server = new BackendServerId("e" + engine);
                boolean fails = engine % 2 == 0;
                mVms.get(FIRST)
                        .ask(
                                new PermitMessage.Ask(engine, server, 0, 1, 1, 1, false),
                                outcome -> {
                                    mOutcomes.add(outcome);
                                    if (fails && outcome instanceof PermitOutcome.Unknown) {
                                        throw new IllegalStateException("fails");
                                    }
                                });
            }
            mNow.addAndGet(25 * MILLI);
            catchThrowable(() -> mVms.get(FIRST).tick());
            assertThat(mOutcomes).hasSize(20);
        }

        @Test
        void answerThatComesLateIsIgnored() {
            start();
            mLossy = true;
            mVms.get(FIRST).ask(ask(1, 0, 1, 1), mOutcomes::add);
            mVms.get(SECOND).ask(ask(1, 0, 1, 1), mOutcomes::add);
            mNow.addAndGet(25 * MILLI);
            mVms.values().forEach(EnginePermits::tick);
            mVms.get(FIRST).heard(SECOND, new PermitMessage.Reply(1, true, 0));
            assertThat(mOutcomes).hasSize(2);
        }
    }

    /** Tests the format of the messages. */
    @Nested
    class Format {
        @Test
        void messagesSurviveTheTransport() throws IOException {
            for (PermitMessage message :
                    List.of(
                            ask(7, 2, 9190, -5),
                            new PermitMessage.Reply(7, true, 42),
                            new PermitMessage.Done(7, ENGINE))) {
                byte[] bytes = PermitCodec.encode(message);
                assertThat(PermitCodec.isPermit(bytes, bytes.length)).isTrue();
                assertThat(PermitCodec.decode(bytes, bytes.length)).isEqualTo(message);
                assertThat(bytes).hasSizeLessThan(64);
            }
        }

        @Test
        void truncatedMessageIsRefused() throws IOException {
            byte[] bytes = PermitCodec.encode(ask(7, 2, 9190, 100));
            for (int length = 1; length < bytes.length; length++) {
                int truncated = length;
                assertThatThrownBy(() -> PermitCodec.decode(bytes, truncated))
                        .isInstanceOf(IOException.class);
            }
        }

        @Test
        void unknownKindIsRefused() {
            assertThatThrownBy(() -> PermitCodec.decode(new byte[] {3, 9, 1}, 3))
                    .isInstanceOf(IOException.class);
        }
    }
}
