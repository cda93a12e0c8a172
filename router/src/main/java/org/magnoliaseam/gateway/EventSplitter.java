package org.magnoliaseam.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into complete server-sent events without changing a byte. Not thread-safe.
 */
final class EventSplitter {

    /** The largest accepted event in bytes. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    /** The prefix of the line with the id of an event. */
    private static final String ID_FIELD = "id:";

    /**
     * Holds one complete event.
     *
     * @param bytes its bytes with the terminating blank line
     * @param id its id; empty if it has none
     */
    record Event(byte[] bytes, String id) {}

    /** The bytes of the current, incomplete event. */
    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream(256);

    /** Limits the memory of the current event. */
    private final AnswerMemory.Share mMemory;

    /** The first bytes of the current line; the whole line if it holds an id. */
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream(128);

    /** The id of the current, incomplete event. */
    private String mId = "";

    /** Whether the current line holds no id. */
    private boolean mOtherLine;

    /** Whether an event was too large. */
    private boolean mOverflowed;

    /**
     * Creates a splitter.
     *
     * @param memory limits the memory of the current event
     */
    EventSplitter(AnswerMemory.Share memory) {
        mMemory = memory;
    }

    /**
     * Processes the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the events that they complete, in order
     */
    List<Event> feed(ByteBuffer bytes) {
        List<Event> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            mEvent.write(next);
            if (next == '\n') {
                endLine(events);
            } else if (next != '\r' && !mOtherLine) {
                addToLine(next);
            }
        }
        mOverflowed |= mEvent.size() > MAX_EVENT_BYTES || !mMemory.resize(mEvent.size());
        return events;
    }

    /**
     * Adds a byte to the current line while it may hold an id.
     *
     * @param next the byte
     */
    private void addToLine(byte next) {
        mLine.write(next);
        mOtherLine =
                mLine.size() == ID_FIELD.length()
                        && !mLine.toString(StandardCharsets.UTF_8).equals(ID_FIELD);
    }

    /**
     * Tells whether the buffer holds an incomplete event.
     *
     * @return true if a stream that ends here would be truncated
     */
    boolean partial() {
        return mEvent.size() > 0;
    }

    /**
     * Tells whether an event exceeds the size limit; the stream is then unusable.
     *
     * @return true if the current event is too large
     */
    boolean overflowed() {
        return mOverflowed;
    }

    /**
     * Processes a complete line.
     *
     * @param events collects a completed event
     */
    private void endLine(List<Event> events) {
        String line = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        mOtherLine = false;
        if (line.isEmpty()) {
            events.add(new Event(mEvent.toByteArray(), mId));
            mEvent.reset();
            mId = "";
        } else if (line.startsWith(ID_FIELD)) {
            mId = line.substring(ID_FIELD.length()).strip();
        }
    }
}
