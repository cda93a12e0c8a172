package org.magnoliaseam.peer;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads bounded fields from an encoded frame. Lengths in the frame are untrusted and checked. */
final class FieldReader {

    /** Configures the unpacker to report malformed text as an error. */
    private static final MessagePack.UnpackerConfig CONFIG =
            new MessagePack.UnpackerConfig()
                    .withActionOnMalformedString(CodingErrorAction.REPORT)
                    .withActionOnUnmappableString(CodingErrorAction.REPORT)
                    .withStringSizeLimit(PeerLimits.FRAME_BYTES);

    /** The length of the encoded frame. */
    private final int mLength;

    /** Reads the individual fields. */
    private final MessageUnpacker mUnpacker;

    /**
     * Creates a reader.
     *
     * @param payload the encoded frame
     */
    FieldReader(byte[] payload) {
        mLength = payload.length;
        mUnpacker = CONFIG.newUnpacker(payload);
    }

    /**
     * Reads any integer.
     *
     * @return the integer
     * @throws IOException if the fields end early
     */
    long integer() throws IOException {
        return mUnpacker.unpackLong();
    }

    /**
     * Reads an integer that is not negative.
     *
     * @return the integer
     * @throws IOException if the fields end early
     * @throws FrameException if the integer is negative
     */
    long natural() throws IOException, FrameException {
        long value = mUnpacker.unpackLong();
        require(value >= 0);
        return value;
    }

    /**
     * Reads an integer within bounds.
     *
     * @param least the lowest accepted value
     * @param most the highest accepted value
     * @return the integer
     * @throws IOException if the fields end early
     * @throws FrameException if the integer is out of bounds
     */
    int between(int least, int most) throws IOException, FrameException {
        long value = mUnpacker.unpackLong();
        require(value >= least && value <= most);
        return (int) value;
    }

    /**
     * Reads a Boolean value.
     *
     * @return the value
     * @throws IOException if the fields end early
     */
    boolean flag() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    /**
     * Reads a text.
     *
     * @param most the largest accepted length in characters
     * @return the text
     * @throws IOException if the fields end early
     * @throws FrameException if the text is too long
     */
    String text(int most) throws IOException, FrameException {
        String text = mUnpacker.unpackString();
        require(text.length() <= most);
        return text;
    }

    /**
     * Reads bytes.
     *
     * @param least the smallest accepted number of bytes
     * @param most the largest accepted number of bytes
     * @return the bytes
     * @throws IOException if the fields end early
     * @throws FrameException if the number of bytes is out of bounds
     */
    byte[] bytes(int least, int most) throws IOException, FrameException {
        int length = mUnpacker.unpackBinaryHeader();
        require(length >= least && length <= most);
        requirePresent(length);
        return mUnpacker.readPayload(length);
    }

    /**
     * Reads the header of a record whose newer versions may have more fields.
     *
     * @param known the number of known fields
     * @return the number of unknown fields, to be skipped after the known ones
     * @throws IOException if the fields end early
     * @throws FrameException if a known field is missing
     */
    int recordHeader(int known) throws IOException, FrameException {
        int count = mUnpacker.unpackArrayHeader();
        require(count >= known);
        requirePresent(count);
        return count - known;
    }

    /**
     * Skips fields.
     *
     * @param count the number of fields
     * @throws IOException if the fields end early
     */
    void skip(int count) throws IOException {
        mUnpacker.skipValue(count);
    }

    /**
     * Reads a list.
     *
     * @param most the largest accepted number of elements
     * @param element reads one element
     * @param <T> the type of the elements
     * @return the list
     * @throws IOException if the fields end early
     * @throws FrameException if the list is too long or an element is malformed
     */
    <T> List<T> list(int most, Element<T> element) throws IOException, FrameException {
        int count = mUnpacker.unpackArrayHeader();
        require(count <= most);
        requirePresent(count);
        List<T> elements = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            elements.add(element.read(this));
        }
        return List.copyOf(elements);
    }

    /**
     * Requires that no field is left.
     *
     * @throws IOException never for a reader in memory
     * @throws FrameException if a field is left
     */
    void finish() throws IOException, FrameException {
        require(!mUnpacker.hasNext());
    }

    /**
     * Requires that the rest of the frame has room for a number of elements of at least one byte
     * each.
     *
     * @param count the number of elements
     * @throws FrameException if the frame is too short
     */
    private void requirePresent(int count) throws FrameException {
        if (count > mLength - mUnpacker.getTotalReadBytes()) {
            throw new FrameException(FrameFault.TRUNCATED);
        }
    }

    /**
     * Requires a condition.
     *
     * @param condition whether the field is acceptable
     * @throws FrameException if it is not
     */
    private static void require(boolean condition) throws FrameException {
        if (!condition) {
            throw new FrameException(FrameFault.MALFORMED);
        }
    }

    /**
     * Reads one element of a list.
     *
     * @param <T> the type of the element
     */
    @FunctionalInterface
    interface Element<T> {

        /**
         * Reads the element.
         *
         * @param in the fields to read
         * @return the element
         * @throws IOException if the fields end early
         * @throws FrameException if the element is malformed
         */
        T read(FieldReader in) throws IOException, FrameException;
    }
}
