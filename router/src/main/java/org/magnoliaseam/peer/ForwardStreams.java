package org.magnoliaseam.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.settings.ConfigurationText;

/** Holds the requests that were forwarded on one dialled connection. */
final class ForwardStreams implements FrameHandler {

    /** The frames that wait for the writer. */
    private final Outbox mOutbox;

    /** Runs the calls to the sinks. */
    private final Executor mHandlers;

    /** Delivers configurations. */
    private final PeerEventDispatcher mDispatcher;

    /** Counts the answer frames that belong to no stream. */
    private final LongAdder mDropped;

    /** The streams by number. */
    private final Map<Long, ForwardStream> mStreams = new ConcurrentHashMap<>();

    /** The number of the last stream. */
    private final AtomicLong mLastStream = new AtomicLong();

    /**
     * Creates the streams of a connection.
     *
     * @param outbox the frames that wait for the writer
     * @param context the state shared by all connections
     * @param dropped counts the answer frames that belong to no stream
     */
    ForwardStreams(Outbox outbox, PeerContext context, LongAdder dropped) {
        mOutbox = outbox;
        mHandlers = context.handlers();
        mDispatcher = context.dispatcher();
        mDropped = dropped;
    }

    /**
     * Forwards a request.
     *
     * @param request the request
     * @param sink receives the answer
     * @return stops the exchange
     */
    Cancellation forward(ForwardedRequest request, AnswerSink sink) {
        long number = mLastStream.incrementAndGet();
        ForwardStream stream =
                new ForwardStream(
                        sink,
                        mHandlers,
                        bytes -> mOutbox.credit(number, bytes),
                        () -> cancelStream(number));
        if (mStreams.size() >= PeerLimits.STREAMS
                || request.body().length > PeerLimits.BODY_BYTES) {
            stream.refuse(notSent("The request does not fit the connection to the peer."));
            return () -> {};
        }
        mStreams.put(number, stream);
        if (!mOutbox.append(number, frames(number, request))) {
            mStreams.remove(number);
            stream.refuse(notSent("The connection to the peer was lost."));
        }
        return () -> cancelStream(number);
    }

    /**
     * Returns whether no stream is open.
     *
     * @return true if none is
     */
    boolean idle() {
        return mStreams.isEmpty();
    }

    @Override
    public boolean pong() {
        return true;
    }

    @Override
    public boolean configurationReply(ConfigurationText text) {
        mDispatcher.configuration(text);
        return true;
    }

    @Override
    public boolean head(long stream, AnswerHead head) {
        ForwardStream open = find(stream);
        return open == null || open.head(head);
    }

    @Override
    public boolean answerChunk(long stream, byte[] bytes) {
        ForwardStream open = find(stream);
        return open == null || open.chunk(bytes);
    }

    @Override
    public boolean end(long stream) {
        ForwardStream open = find(stream);
        if (open == null) {
            return true;
        }
        boolean expected = open.end();
        if (expected) {
            remove(stream);
        }
        return expected;
    }

    @Override
    public boolean refuse(long stream, Refusal refusal) {
        ForwardStream open = find(stream);
        if (open != null) {
            remove(stream);
            open.refuse(refusal);
        }
        return true;
    }

    @Override
    public void closed() {
        for (Map.Entry<Long, ForwardStream> entry : mStreams.entrySet()) {
            if (mStreams.remove(entry.getKey()) != null) {
                boolean sent = mOutbox.drop(entry.getKey()).isEmpty();
                entry.getValue().refuse(sent ? unknown() : notSent("The connection was lost."));
            }
        }
    }

    /**
     * Splits a request into frames.
     *
     * @param stream the number of the stream
     * @param request the request
     * @return the frames in their order
     */
    private static List<Frame> frames(long stream, ForwardedRequest request) {
        byte[] body = request.body();
        List<Frame> frames = new ArrayList<>();
        frames.add(new Frame.Open(stream, request, body.length));
        for (int offset = 0; offset < body.length; offset += PeerLimits.CHUNK_BYTES) {
            int length = Math.min(PeerLimits.CHUNK_BYTES, body.length - offset);
            frames.add(new Frame.BodyChunk(stream, body, offset, length));
        }
        return frames;
    }

    /**
     * Finds an open stream; if there is none, counts the frame as dropped.
     *
     * @param stream the number of the stream
     * @return the stream, or null
     */
    private ForwardStream find(long stream) {
        ForwardStream open = mStreams.get(stream);
        if (open == null) {
            mDropped.increment();
        }
        return open;
    }

    /**
     * Stops a stream on both sides.
     *
     * @param number the number of the stream
     */
    private void cancelStream(long number) {
        ForwardStream stream = mStreams.remove(number);
        if (stream == null) {
            return;
        }
        stream.cancel();
        List<Frame> unsent = mOutbox.drop(number);
        boolean opened = unsent.isEmpty() || !(unsent.get(0) instanceof Frame.Open);
        if (opened) {
            mOutbox.append(number, List.of(new Frame.Cancel(number)));
        }
    }

    /**
     * Removes an ended stream and its waiting frames.
     *
     * @param number the number of the stream
     */
    private void remove(long number) {
        mStreams.remove(number);
        mOutbox.drop(number);
    }

    /**
     * Creates the refusal of a request that was not completely sent; a peer never starts such a
     * request.
     *
     * @param detail the reason
     * @return the refusal
     */
    private static Refusal notSent(String detail) {
        return new Refusal(ErrorKind.NO_BACKEND_SERVER, detail);
    }

    /**
     * Creates the refusal of a request that the peer may have received.
     *
     * @return the refusal
     */
    private static Refusal unknown() {
        return new Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                "The connection to the peer was lost after the request was sent.");
    }
}
