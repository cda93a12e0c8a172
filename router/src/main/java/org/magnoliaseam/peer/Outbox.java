package org.magnoliaseam.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliaseam.fleet.PeerSummary;

/**
 * Queues the frames that wait for the writer of one connection. Pings, pongs and heartbeats go
 * first, a newer heartbeat replaces the waiting one, and streams are served round-robin, one frame
 * each.
 */
final class Outbox {

    /** The number of checks without a heartbeat or ping after which a ping is due. */
    private static final int IDLE_CHECKS = 3;

    /** The waiting heartbeat, or null. */
    private PeerSummary mHeartbeat;

    /** The last heartbeat that the writer has taken with its lists, or null. */
    private PeerSummary mLastFull;

    /** The number of checks since the writer last took a heartbeat or ping. */
    private int mIdleChecks;

    /** The waiting ping, or null. */
    private Frame mPing;

    /** The waiting pong, or null. */
    private Frame mPong;

    /** The waiting configuration request or reply, or null. */
    private Frame mConfiguration;

    /** The waiting credits by stream. */
    private final Map<Long, Integer> mCredits = new LinkedHashMap<>();

    /** The waiting frames by stream, in the order in which they are served. */
    private final Map<Long, Deque<Frame>> mStreams = new LinkedHashMap<>();

    /** Whether the writer is to stop when no frame waits. */
    private boolean mFinishing;

    /** Whether the connection is closed. */
    private boolean mClosed;

    /**
     * Replaces the waiting heartbeat.
     *
     * @param summary the heartbeat
     */
    synchronized void heartbeat(PeerSummary summary) {
        mHeartbeat = summary;
        notifyAll();
    }

    /** Queues a ping if the writer has taken no heartbeat or ping for some checks. */
    synchronized void pingIfIdle() {
        mIdleChecks++;
        if (mIdleChecks >= IDLE_CHECKS) {
            ping();
        }
    }

    /** Queues a ping. */
    synchronized void ping() {
        mPing = new Frame.Ping();
        notifyAll();
    }

    /** Queues a pong. */
    synchronized void pong() {
        mPong = new Frame.Pong();
        notifyAll();
    }

    /**
     * Replaces the waiting configuration request or reply.
     *
     * @param frame the request or reply
     */
    synchronized void configuration(Frame frame) {
        mConfiguration = frame;
        notifyAll();
    }

    /**
     * Adds to the credit of a stream.
     *
     * @param stream the stream
     * @param bytes the additional bytes
     */
    synchronized void credit(long stream, int bytes) {
        mCredits.merge(stream, bytes, Integer::sum);
        notifyAll();
    }

    /**
     * Appends frames to a stream.
     *
     * @param stream the stream
     * @param frames the frames in their order
     * @return whether the outbox still accepts frames of streams
     */
    synchronized boolean append(long stream, List<? extends Frame> frames) {
        boolean open = !mClosed && !mFinishing;
        if (open) {
            mStreams.computeIfAbsent(stream, key -> new ArrayDeque<>()).addAll(frames);
            notifyAll();
        }
        return open;
    }

    /**
     * Removes the waiting frames of a stream.
     *
     * @param stream the stream
     * @return the frames that the writer has not taken, in their order
     */
    synchronized List<Frame> drop(long stream) {
        mCredits.remove(stream);
        Deque<Frame> frames = mStreams.remove(stream);
        return frames == null ? List.of() : List.copyOf(frames);
    }

    /**
     * Takes the next frame.
     *
     * @return the frame, or null if none waits or the connection is closed
     */
    synchronized Frame poll() {
        if (mClosed) {
            return null;
        }
        Frame frame = pollControl();
        if (frame == null) {
            frame = pollCredit();
        }
        return frame == null ? pollStream() : frame;
    }

    /**
     * Waits for the next frame.
     *
     * @return the frame, or null if the connection is closed, or is finishing and no frame waits
     * @throws InterruptedException if the thread is interrupted
     */
    synchronized Frame take() throws InterruptedException {
        Frame frame = poll();
        while (frame == null && !mClosed && !mFinishing) {
            wait();
            frame = poll();
        }
        return frame;
    }

    /** Lets the writer stop when no frame waits; further frames of streams are rejected. */
    synchronized void finish() {
        mFinishing = true;
        notifyAll();
    }

    /** Stops the writer. The frames of streams stay until they are dropped. */
    synchronized void close() {
        mClosed = true;
        notifyAll();
    }

    /**
     * Takes a ping, pong, heartbeat, or configuration request or reply.
     *
     * @return the frame, or null if none waits
     */
    private Frame pollControl() {
        Frame frame = null;
        if (mPong != null) {
            frame = mPong;
            mPong = null;
        } else if (mHeartbeat != null) {
            frame = takeHeartbeat();
            mPing = null;
            mIdleChecks = 0;
        } else if (mPing != null) {
            frame = mPing;
            mPing = null;
            mIdleChecks = 0;
        } else if (mConfiguration != null) {
            frame = mConfiguration;
            mConfiguration = null;
        }
        return frame;
    }

    /**
     * Takes the waiting heartbeat, without its lists if the peer has them.
     *
     * @return the frame
     */
    private Frame takeHeartbeat() {
        PeerSummary summary = mHeartbeat;
        mHeartbeat = null;
        if (mLastFull != null && SummaryLists.same(summary, mLastFull)) {
            return new Frame.Pulse(SummaryLists.strip(summary));
        }
        mLastFull = summary;
        return new Frame.Heartbeat(summary);
    }

    /**
     * Takes the credit of a stream.
     *
     * @return the frame, or null if none waits
     */
    private Frame pollCredit() {
        Iterator<Map.Entry<Long, Integer>> credits = mCredits.entrySet().iterator();
        if (!credits.hasNext()) {
            return null;
        }
        Map.Entry<Long, Integer> credit = credits.next();
        Frame frame = new Frame.Credit(credit.getKey(), credit.getValue());
        credits.remove();
        return frame;
    }

    /**
     * Takes the next frame of the stream whose turn it is.
     *
     * @return the frame, or null if none waits
     */
    private Frame pollStream() {
        Iterator<Map.Entry<Long, Deque<Frame>>> streams = mStreams.entrySet().iterator();
        if (!streams.hasNext()) {
            return null;
        }
        Map.Entry<Long, Deque<Frame>> stream = streams.next();
        streams.remove();
        Deque<Frame> frames = stream.getValue();
        Frame frame = frames.poll();
        if (!frames.isEmpty()) {
            mStreams.put(stream.getKey(), frames);
        }
        return frame;
    }
}
