package org.magnoliaseam.route;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;

/** Counts the requests whose answer or refusal is not yet passed on as a whole. Thread-safe. */
final class OpenAnswers {

    /** The number of open answers. */
    private final AtomicInteger mOpen = new AtomicInteger();

    /**
     * Accepts a request and counts it until its sink is ended.
     *
     * @param sink receives the answer
     * @param accept accepts the request with the sink that is counted
     * @return cancels the request
     */
    Cancellation count(AnswerSink sink, Function<AnswerSink, Cancellation> accept) {
        CountedSink counted = new CountedSink(sink);
        try {
            return accept.apply(counted);
        } catch (RuntimeException e) {
            counted.close();
            throw e;
        }
    }

    /**
     * Returns the number of open answers.
     *
     * @return the number of requests
     */
    int count() {
        return mOpen.get();
    }

    /** Passes an answer on and counts it until its end. */
    private final class CountedSink implements AnswerSink {

        /** Receives the answer. */
        private final AnswerSink mSink;

        /** Whether the answer has ended. */
        private final AtomicBoolean mClosed = new AtomicBoolean();

        /**
         * Creates a sink and counts its answer.
         *
         * @param sink receives the answer
         */
        CountedSink(AnswerSink sink) {
            mSink = sink;
            mOpen.incrementAndGet();
        }

        @Override
        public void head(AnswerHead head) {
            mSink.head(head);
        }

        @Override
        public CompletableFuture<Void> write(ByteBuffer bytes) {
            return mSink.write(bytes);
        }

        @Override
        public void end() {
            mSink.end();
            close();
        }

        @Override
        public void refuse(Refusal refusal) {
            mSink.refuse(refusal);
            close();
        }

        /** Ends the count of the answer; further calls have no effect. */
        void close() {
            if (mClosed.compareAndSet(false, true)) {
                mOpen.decrementAndGet();
            }
        }
    }
}
