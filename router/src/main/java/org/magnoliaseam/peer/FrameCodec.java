package org.magnoliaseam.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.magnoliaseam.error.Result;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/** Converts frames to bytes and back. */
final class FrameCodec {

    /** Prevents instances of this utility class. */
    private FrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return the bytes
     */
    static byte[] encode(Frame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(frame.type().code());
            frame.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param payload the bytes
     * @return the frame, or the reason why the bytes are not a valid frame
     */
    static Result<Frame, FrameFault> decode(byte[] payload) {
        FieldReader in = new FieldReader(payload);
        try {
            FrameType type =
                    FrameType.of((int) in.integer())
                            .orElseThrow(() -> new FrameException(FrameFault.UNKNOWN_TYPE));
            Frame frame = type.decode(in);
            in.finish();
            return Result.ok(frame);
        } catch (FrameException e) {
            return Result.err(e.fault());
        } catch (MessageInsufficientBufferException e) {
            return Result.err(FrameFault.TRUNCATED);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Result.err(FrameFault.MALFORMED);
        }
    }
}
