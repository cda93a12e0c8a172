package org.magnoliaseam.testbed.engine;

import java.util.function.Consumer;
import org.magnoliaseam.testbed.http.HttpExchange;

/** Holds the progress of one request. It is used by one thread. */
final class EngineStream implements Comparable<EngineStream> {

    /** What the request asks for. */
    private final EngineRequest mRequest;

    /** The exchange that the answer goes to. */
    private final HttpExchange mExchange;

    /** The order of arrival. */
    private final long mSequence;

    /** The index of the next token. */
    private int mNext;

    /** The number of tokens that this engine generated for the request. */
    private int mGenerated;

    /** Whether the answer has begun. */
    private boolean mBegun;

    /** Whether a part of the answer is being written. */
    private boolean mWriting;

    /** Whether nothing more is generated for the request. */
    private boolean mEnded;

    /**
     * Creates a stream.
     *
     * @param request what the request asks for
     * @param exchange the exchange that the answer goes to
     * @param sequence the order of arrival
     */
    EngineStream(EngineRequest request, HttpExchange exchange, long sequence) {
        mRequest = request;
        mExchange = exchange;
        mSequence = sequence;
        mNext = Math.min(request.offset(), request.answer().tokens());
    }

    /**
     * Returns what the request asks for.
     *
     * @return the request
     */
    EngineRequest request() {
        return mRequest;
    }

    /**
     * Returns the tokens that this engine generated for the request.
     *
     * @return the number of tokens
     */
    int generated() {
        return mGenerated;
    }

    /**
     * Tells whether all tokens are generated.
     *
     * @return whether only the end is missing
     */
    boolean exhausted() {
        return mNext >= mRequest.answer().tokens();
    }

    /**
     * Tells whether nothing more is generated for the request.
     *
     * @return whether the stream has ended
     */
    boolean ended() {
        return mEnded;
    }

    /**
     * Generates and writes the next token.
     *
     * @param model the model
     * @param done gets null when the token is written, else the failure
     */
    void writeToken(String model, Consumer<Throwable> done) {
        int index = mNext++;
        mGenerated++;
        String token = mRequest.answer().token(index);
        write(false, EngineEvents.token(mRequest.answerId(), model, index, token), done);
    }

    /**
     * Writes the end of the answer.
     *
     * @param model the model
     * @param done gets null when the end is written, else the failure
     */
    void writeEnd(String model, Consumer<Throwable> done) {
        String stop = EngineEvents.stop(mRequest.answerId(), model, mRequest.answer().tokens());
        write(true, stop + EngineEvents.END_MARKER, done);
    }

    /** Ends the answer without its end marker. */
    void cutOff() {
        mEnded = true;
        if (!mWriting) {
            write(true, "", failure -> {});
        }
    }

    /** Ends the stream by a reset of its connection. */
    void reset() {
        mEnded = true;
        mExchange.reset();
    }

    /** Marks the stream as ended. */
    void end() {
        mEnded = true;
    }

    /** Records that a write has finished. */
    void markWritten() {
        mWriting = false;
    }

    @Override
    public int compareTo(EngineStream other) {
        int byPriority = Integer.compare(mRequest.priority(), other.mRequest.priority());
        return byPriority != 0 ? byPriority : Long.compare(mSequence, other.mSequence);
    }

    /**
     * Writes a part of the answer.
     *
     * @param last whether the part ends the answer
     * @param text the part
     * @param done gets null when the part is written, else the failure
     */
    private void write(boolean last, String text, Consumer<Throwable> done) {
        if (!mBegun) {
            mBegun = true;
            mExchange.beginEvents();
        }
        mWriting = true;
        mExchange.write(last, text, done);
    }
}
