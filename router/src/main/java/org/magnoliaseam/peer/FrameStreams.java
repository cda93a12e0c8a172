package org.magnoliaseam.peer;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;

/** Reads and writes length-prefixed messages. */
final class FrameStreams {

    /** Prevents instances of this utility class. */
    private FrameStreams() {}

    /**
     * Reads a message of the handshake.
     *
     * @param in the connection
     * @return the message
     * @throws FrameException if no acceptable message arrives
     */
    static byte[] readPlain(DataInputStream in) throws FrameException {
        return readBlock(in, 1, PeerLimits.HANDSHAKE_MESSAGE_BYTES);
    }

    /**
     * Writes a message of the handshake.
     *
     * @param out the connection
     * @param message the message
     * @throws IOException if the connection fails
     */
    static void writePlain(OutputStream out, byte[] message) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES + message.length);
        out.write(buffer.putInt(message.length).put(message).array());
        out.flush();
    }

    /**
     * Reads a frame and checks its code.
     *
     * @param in the connection
     * @param authenticator the authentication of the direction
     * @return the encoded frame
     * @throws FrameException if no acceptable frame arrives
     */
    static byte[] readAuthenticated(DataInputStream in, FrameAuthenticator authenticator)
            throws FrameException {
        byte[] block =
                readBlock(
                        in,
                        FrameAuthenticator.TAG_BYTES + 1,
                        FrameAuthenticator.TAG_BYTES + PeerLimits.FRAME_BYTES);
        ByteBuffer buffer = ByteBuffer.wrap(block);
        byte[] code = new byte[FrameAuthenticator.TAG_BYTES];
        buffer.get(code);
        byte[] payload = new byte[buffer.remaining()];
        buffer.get(payload);
        if (!MessageDigest.isEqual(authenticator.next(payload), code)) {
            throw new FrameException(FrameFault.FORGED);
        }
        return payload;
    }

    /**
     * Writes a frame with its code, without flushing.
     *
     * @param out the connection
     * @param authenticator the authentication of the direction
     * @param payload the encoded frame
     * @throws IOException if the connection fails
     */
    static void writeAuthenticated(
            OutputStream out, FrameAuthenticator authenticator, byte[] payload) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(Integer.BYTES + FrameAuthenticator.TAG_BYTES);
        head.putInt(FrameAuthenticator.TAG_BYTES + payload.length).put(authenticator.next(payload));
        out.write(head.array());
        out.write(payload);
    }

    /**
     * Reads a length and then that number of bytes.
     *
     * @param in the connection
     * @param least the smallest accepted length
     * @param most the largest accepted length
     * @return the bytes
     * @throws FrameException if the length is out of range or the bytes do not arrive
     */
    private static byte[] readBlock(DataInputStream in, int least, int most) throws FrameException {
        try {
            int first = in.read();
            if (first < 0) {
                throw new FrameException(FrameFault.CLOSED);
            }
            int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            if (length < least || length > most) {
                throw new FrameException(FrameFault.OVERSIZED);
            }
            byte[] block = new byte[length];
            in.readFully(block);
            return block;
        } catch (EOFException e) {
            throw new FrameException(FrameFault.TRUNCATED);
        } catch (SocketTimeoutException e) {
            throw new FrameException(FrameFault.SILENT);
        } catch (IOException e) {
            throw new FrameException(FrameFault.LOST);
        }
    }
}
