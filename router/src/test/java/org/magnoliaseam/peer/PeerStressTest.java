package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.settings.PeerAddress;

/** Tests that every exchange ends exactly once when connections are lost. */
class PeerStressTest {

    private static final int ROUNDS = 20;
    private static final int REQUESTS_A_ROUND = 50;
    private static final AnswerHead OK = new AnswerHead(200, List.of());

    private TestNode mFirst;
    private TestNode mSecond;
    private DisconnectingRelay mRelay;

    @BeforeEach
    void start() throws IOException {
        mFirst = new TestNode("entry-1", Fixtures.SECRET);
        mSecond = new TestNode("entry-2", Fixtures.SECRET);
        mRelay = new DisconnectingRelay(mSecond.mNode.boundAddress());
        mSecond.mService = PeerStressTest::echoInParts;
    }

    @AfterEach
    void close() throws IOException {
        mRelay.close();
        mFirst.close();
        mSecond.close();
    }

    private static Cancellation echoInParts(ForwardedRequest request, AnswerSink sink) {
        sink.head(OK);
        writeNext(sink, ByteBuffer.wrap(request.body()));
        return () -> {};
    }

    private static void writeNext(AnswerSink sink, ByteBuffer rest) {
        if (!rest.hasRemaining()) {
            sink.end();
            return;
        }
        int length = Math.min(rest.remaining(), 10_000);
        ByteBuffer part = rest.slice(rest.position(), length);
        rest.position(rest.position() + length);
        sink.write(part).thenRun(() -> writeNext(sink, rest));
    }

    @Test
    void everyExchangeEndsOnceWithACompleteAnswerOrRefusal() {
        Random random = new Random(11);
        List<CheckingSink> sinks = new ArrayList<>();
        AtomicInteger unended = new AtomicInteger();
        mFirst.mNode.connectTo(List.of(new PeerAddress(mSecond.mSelf.vm(), mRelay.address())));
        for (int round = 0; round < ROUNDS; round++) {
            await().pollInterval(Duration.ofMillis(2)).until(() -> mFirst.connected(mSecond));
            for (int i = 0; i < REQUESTS_A_ROUND; i++) {
                byte[] body = new byte[random.nextInt(300_000)];
                random.nextBytes(body);
                CheckingSink sink = new CheckingSink(body, unended);
                sinks.add(sink);
                ForwardedRequest request = Fixtures.request(mFirst.mSelf, "r-" + i, body);
                mFirst.mNode.forward(mSecond.mSelf.vm(), request, sink);
            }
            int left = random.nextInt(REQUESTS_A_ROUND);
            await().pollInterval(Duration.ofMillis(1)).until(() -> unended.get() <= left);
            mRelay.closeConnections();
        }
        await().until(() -> unended.get() == 0);
        assertThat(sinks).allSatisfy(sink -> assertThat(sink.mFault).isNull());
        long whole = sinks.stream().filter(sink -> sink.mWhole).count();
        System.out.printf("%d exchanges, %d whole answers%n", sinks.size(), whole);
        assertThat(whole).isBetween(1L, sinks.size() - 1L);
    }

    /**
     * Checks the order of calls and the bytes of an echoed body; completes each write after 1 ms.
     */
    private static final class CheckingSink implements AnswerSink {

        private static final Executor DELAYED =
                CompletableFuture.delayedExecutor(1, TimeUnit.MILLISECONDS);
        private final byte[] mExpected;
        private final AtomicInteger mUnended;
        private int mReceived;
        private boolean mHead;
        private boolean mWriting;
        private boolean mEnded;
        private volatile boolean mWhole;
        private volatile String mFault;

        CheckingSink(byte[] expected, AtomicInteger unended) {
            mExpected = expected;
            mUnended = unended;
            unended.incrementAndGet();
        }

        private synchronized void check(boolean condition, String fault) {
            if (!condition || mEnded || mWriting) {
                mFault = fault;
            }
        }

        @Override
        public void head(AnswerHead head) {
            check(!mHead, "second head");
            mHead = true;
        }

        @Override
        public synchronized CompletableFuture<Void> write(ByteBuffer bytes) {
            int end = mReceived + bytes.remaining();
            boolean fits = end <= mExpected.length;
            check(
                    mHead
                            && fits
                            && bytes.equals(
                                    ByteBuffer.wrap(Arrays.copyOfRange(mExpected, mReceived, end))),
                    "wrong part");
            mReceived = end;
            mWriting = true;
            return CompletableFuture.runAsync(this::completeWrite, DELAYED);
        }

        private synchronized void completeWrite() {
            mWriting = false;
        }

        @Override
        public synchronized void end() {
            check(mReceived == mExpected.length, "end before the last part");
            mWhole = true;
            mEnded = true;
            mUnended.decrementAndGet();
        }

        @Override
        public synchronized void refuse(Refusal refusal) {
            boolean notRun = refusal.kind() == ErrorKind.NO_BACKEND_SERVER;
            check(!notRun || !mHead, "answered but refused as not run");
            check(notRun || refusal.kind() == ErrorKind.OUTCOME_UNKNOWN, "wrong kind");
            mEnded = true;
            mUnended.decrementAndGet();
        }
    }
}
