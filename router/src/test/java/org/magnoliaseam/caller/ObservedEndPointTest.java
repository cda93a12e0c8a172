package org.magnoliaseam.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the order of the bytes that a connection reads, and the detection of its end. */
class ObservedEndPointTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static final long RECEIVE_LIMIT_MILLIS = 10_000;

    private final ExecutorService mExecutor = Executors.newCachedThreadPool();

    private final HeldEndPoint mSocket = new HeldEndPoint();

    private final ObservedEndPoint mObserved =
            new ObservedEndPoint(
                    mSocket,
                    mExecutor,
                    RECEIVE_LIMIT_MILLIS,
                    () -> 0,
                    new ConnectionNotices(System::nanoTime),
                    System::nanoTime);

    private final StringBuffer mReceived = new StringBuffer();

    private final AtomicInteger mClosed = new AtomicInteger();

    /** Holds a thread between its read from the socket and the return of the bytes. */
    private static final class HeldEndPoint extends ByteArrayEndPoint {

        private final AtomicInteger mReads = new AtomicInteger();

        private final CountDownLatch mHeld = new CountDownLatch(1);

        private final CountDownLatch mReleased = new CountDownLatch(1);

        private volatile boolean mHolds;

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            int filled = super.fill(buffer);
            mReads.incrementAndGet();
            if (mHolds && filled > 0) {
                mHolds = false;
                mHeld.countDown();
                try {
                    mReleased.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return filled;
        }
    }

    @AfterEach
    void stop() {
        mSocket.mReleased.countDown();
        mExecutor.shutdownNow();
    }

    /** Reads as Jetty does: until no bytes are left, and again when more arrive. */
    private void read() {
        ByteBuffer buffer = BufferUtil.allocate(64);
        try {
            int filled = mObserved.fill(buffer);
            while (filled > 0) {
                mReceived.append(StandardCharsets.US_ASCII.decode(buffer));
                BufferUtil.clear(buffer);
                filled = mObserved.fill(buffer);
            }
            if (filled == 0) {
                mObserved.fillInterested(Callback.from(this::read, failure -> {}));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Tests two threads that read from one connection. */
    @Nested
    class TwoReaders {

        /**
         * Guards against request bodies with swapped parts: the connection read on from the socket
         * before the bytes that were read ahead had been stored.
         */
        @Test
        void connectionGetsNoLaterBytesBeforeThoseReadAhead() throws Exception {
            mObserved.observe(mClosed::incrementAndGet);
            mSocket.mHolds = true;
            mExecutor.execute(() -> mSocket.addInput("first "));
            assertThat(mSocket.mHeld.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            mObserved.forget();
            mSocket.addInput("second");
            read();
            mSocket.mReleased.countDown();
            await().atMost(TIMEOUT).until(() -> mReceived.length() == 12);
            assertThat(mReceived.toString()).isEqualTo("first second");
        }

        /** Guards against a read-ahead that begins after the connection reads for itself again. */
        @Test
        void nothingIsReadAheadAfterTheObservation() throws Exception {
            mObserved.observe(mClosed::incrementAndGet);
            mObserved.forget();
            mSocket.addInput("first");
            assertThat(mSocket.mReads.get()).isZero();
            read();
            await().atMost(TIMEOUT).until(() -> mReceived.toString().equals("first"));
        }

        /** Guards against a read-ahead beside a read of the connection that is not finished. */
        @Test
        void nothingIsReadAheadWhileTheConnectionReads() throws Exception {
            mSocket.mHolds = true;
            mSocket.addInput("first ");
            mExecutor.execute(ObservedEndPointTest.this::read);
            assertThat(mSocket.mHeld.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            mObserved.observe(mClosed::incrementAndGet);
            mSocket.addInput("second");
            mSocket.mReleased.countDown();
            await().atMost(TIMEOUT).until(() -> mReceived.length() == 12);
            assertThat(mReceived.toString()).isEqualTo("first second");
        }
    }

    /** Tests the detection of the end of the connection. */
    @Nested
    class End {

        @Test
        void observerLearnsOfTheEnd() {
            mObserved.observe(mClosed::incrementAndGet);
            mSocket.addInputEOF();
            await().atMost(TIMEOUT).until(() -> mClosed.get() == 1);
        }

        @Test
        void endDuringAReadAheadReachesTheConnection() throws Exception {
            mObserved.observe(mClosed::incrementAndGet);
            mSocket.mHolds = true;
            mExecutor.execute(() -> mSocket.addInput("first"));
            assertThat(mSocket.mHeld.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            mObserved.forget();
            mSocket.addInputEOF();
            mSocket.mReleased.countDown();
            read();
            await().atMost(TIMEOUT).until(() -> mReceived.toString().equals("first"));
            assertThat(mClosed.get()).isZero();
            await().atMost(TIMEOUT).until(() -> mObserved.fill(BufferUtil.allocate(8)) == -1);
        }
    }
}
