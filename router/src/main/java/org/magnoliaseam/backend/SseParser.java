package org.magnoliaseam.backend;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Extracts the data of server-sent events from a byte stream. Not thread-safe. */
public final class SseParser {

    /** The longest accepted line, in bytes. */
    public static final int MAX_LINE_BYTES = 256 * 1024;

    /** The field name of event data. */
    private static final String DATA_FIELD = "data:";

    /** The current line, which is not complete yet. */
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();

    /** The data of the current event, which is not complete yet; null if it has none so far. */
    private StringBuilder mData;

    /** Whether a line was longer than the limit. */
    private boolean mOverflowed;

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the data of each event that they complete, in order
     */
    public List<String> feed(ByteBuffer bytes) {
        List<String> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine(events);
            } else if (mLine.size() < MAX_LINE_BYTES) {
                mLine.write(next);
            } else {
                mOverflowed = true;
            }
        }
        return events;
    }

    /**
     * Returns whether a line was longer than {@link #MAX_LINE_BYTES}, which makes the stream
     * unusable.
     *
     * @return true after an overlong line
     */
    public boolean overflowed() {
        return mOverflowed;
    }

    /**
     * Parses a complete line.
     *
     * @param events the list to which the data of a completed event is added
     */
    private void endLine(List<String> events) {
        String line = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        if (line.endsWith("\r")) {
            line = line.substring(0, line.length() - 1);
        }
        if (line.isEmpty()) {
            if (mData != null) {
                events.add(mData.toString());
                mData = null;
            }
        } else if (line.startsWith(DATA_FIELD)) {
            appendData(line.substring(DATA_FIELD.length()).stripLeading());
        }
    }

    /**
     * Appends a line of data to the current event.
     *
     * @param text the data of the line
     */
    private void appendData(String text) {
        if (mData == null) {
            mData = new StringBuilder(text);
        } else {
            mData.append('\n').append(text);
        }
    }
}
