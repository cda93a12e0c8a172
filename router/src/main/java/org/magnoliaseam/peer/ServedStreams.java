package org.magnoliaseam.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.time.MonotonicClock;

/** Serves the heartbeats and requests that arrive on one accepted connection. */
final class ServedStreams implements FrameHandler {

    /** The logger of this class. */
    private static final Logger LOG = LogManager.getLogger(ServedStreams.class);

    /** The run of the peer. */
    private final PeerIdentity mPeer;

    /** The frames that wait for the writer. */
    private final Outbox mOutbox;

    /** Handles forwarded requests and configuration requests. */
    private final PeerEvents mEvents;

    /** Runs the event handlers. */
    private final Executor mHandlers;

    /** Measures the age of a heartbeat. */
    private final MonotonicClock mClock;

    /** Delivers heartbeats. */
    private final PeerEventDispatcher mDispatcher;

    /** The last heartbeat with its lists, or null; used by the reader thread alone. */
    private PeerSummary mLastFull;

    /** The arrival of the last heartbeat with its lists; used by the reader thread alone. */
    private long mLastFullNanos;

    /** The requests whose bodies are arriving; used by the reader thread alone. */
    private final Map<Long, RequestAssembler> mIncoming = new HashMap<>();

    /** The bytes reserved for arriving bodies; used by the reader thread alone. */
    private int mIncomingBytes;

    /** The requests that run, by stream. */
    private final Map<Long, ServedStream> mStreams = new ConcurrentHashMap<>();

    /** The version in the last unanswered configuration request, or null if there is none. */
    private final AtomicReference<Long> mRequestedVersion = new AtomicReference<>();

    /** Whether the connection is closed. */
    private volatile boolean mClosed;

    /**
     * Creates the handler of a connection.
     *
     * @param peer the run of the peer
     * @param outbox the frames that wait for the writer
     * @param context the state shared by all connections
     */
    ServedStreams(PeerIdentity peer, Outbox outbox, PeerContext context) {
        mPeer = peer;
        mOutbox = outbox;
        mEvents = context.events();
        mHandlers = context.handlers();
        mClock = context.clock();
        mDispatcher = context.dispatcher();
    }

    @Override
    public boolean heartbeat(PeerSummary summary) {
        if (!sentByPeer(summary)) {
            return false;
        }
        mLastFull = summary;
        mLastFullNanos = mClock.nanos();
        deliver(summary);
        return true;
    }

    @Override
    public boolean pulse(PeerSummary summary) {
        if (mLastFull == null || !sentByPeer(summary)) {
            return false;
        }
        long elapsed = TimeUnit.NANOSECONDS.toMillis(mClock.nanos() - mLastFullNanos);
        deliver(SummaryLists.restore(summary, mLastFull, elapsed));
        return true;
    }

    @Override
    public boolean ping() {
        mOutbox.pong();
        return true;
    }

    @Override
    public boolean configurationRequest(long newerThan) {
        if (mRequestedVersion.getAndSet(newerThan) == null) {
            mHandlers.execute(this::answerConfiguration);
        }
        return true;
    }

    @Override
    public boolean open(long stream, ForwardedRequest request, int bodyBytes) {
        VmId from = request.from();
        if (!from.equals(mPeer.vm())
                || mIncoming.containsKey(stream)
                || mStreams.containsKey(stream)) {
            return false;
        }
        boolean withinLimits =
                mIncoming.size() + mStreams.size() < PeerLimits.STREAMS
                        && mIncomingBytes + bodyBytes <= PeerLimits.PENDING_BODY_BYTES;
        if (!withinLimits) {
            Refusal refusal = Refusal.of(ErrorKind.OVERLOADED);
            mOutbox.append(stream, List.of(new Frame.Refuse(stream, refusal)));
            return true;
        }
        RequestAssembler incoming = new RequestAssembler(request, bodyBytes);
        if (incoming.complete()) {
            start(stream, incoming.request());
        } else {
            mIncoming.put(stream, incoming);
            mIncomingBytes += bodyBytes;
        }
        return true;
    }

    @Override
    public boolean bodyChunk(long stream, byte[] bytes) {
        RequestAssembler incoming = mIncoming.get(stream);
        if (incoming == null) {
            return true;
        }
        if (!incoming.append(bytes)) {
            return false;
        }
        if (incoming.complete()) {
            removeIncoming(stream);
            start(stream, incoming.request());
        }
        return true;
    }

    @Override
    public boolean cancel(long stream) {
        removeIncoming(stream);
        ServedStream served = mStreams.get(stream);
        if (served != null) {
            served.cancel();
        }
        return true;
    }

    @Override
    public boolean credit(long stream, int bytes) {
        ServedStream served = mStreams.get(stream);
        return served == null || served.credit(bytes);
    }

    @Override
    public void closed() {
        mClosed = true;
        mStreams.values().forEach(ServedStream::cancel);
    }

    /**
     * Returns whether a summary is from the run that has authenticated.
     *
     * @param summary the summary
     * @return true if it does
     */
    private boolean sentByPeer(PeerSummary summary) {
        return new PeerIdentity(summary.vm(), summary.incarnation()).equals(mPeer);
    }

    /**
     * Confirms a heartbeat and queues it for delivery.
     *
     * @param summary the heartbeat with its lists
     */
    private void deliver(PeerSummary summary) {
        mOutbox.pong();
        mDispatcher.heartbeat(summary);
    }

    /**
     * Removes a request whose body is still arriving, if there is one.
     *
     * @param stream the stream
     */
    private void removeIncoming(long stream) {
        RequestAssembler incoming = mIncoming.remove(stream);
        if (incoming != null) {
            mIncomingBytes -= incoming.bodyBytes();
        }
    }

    /**
     * Starts a request that has arrived completely.
     *
     * @param stream the stream
     * @param request the request
     */
    private void start(long stream, ForwardedRequest request) {
        ServedStream served =
                new ServedStream(stream, mOutbox, mHandlers, () -> mStreams.remove(stream));
        mStreams.put(stream, served);
        if (mClosed) {
            served.cancel();
        }
        mHandlers.execute(() -> run(request, served));
    }

    /**
     * Passes a request to the event handler.
     *
     * @param request the request
     * @param served sends the answer
     */
    private void run(ForwardedRequest request, ServedStream served) {
        if (served.ended()) {
            return;
        }
        try {
            served.started(mEvents.forwarded(request, served));
        } catch (RuntimeException e) {
            LOG.error("peer: starting request {} failed.", request.id(), e);
            served.refuse(Refusal.of(ErrorKind.INTERNAL));
        }
    }

    /** Answers the last configuration request. */
    private void answerConfiguration() {
        mEvents.configurationNewerThan(mRequestedVersion.getAndSet(null))
                .ifPresent(text -> mOutbox.configuration(new Frame.ConfigurationReply(text)));
    }
}
