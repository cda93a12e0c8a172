package org.magnoliaseam.permit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.model.BackendServerId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages about permits with MessagePack. */
public final class PermitCodec {

    /** The version of the format, which differs from that of digests in the same port. */
    private static final int FORMAT = 7;

    /** Lists the messages by their number in the format. */
    private enum Kind {
        /** {@link PermitMessage.Ask}. */
        ASK,
        /** {@link PermitMessage.Reply}. */
        REPLY,
        /** {@link PermitMessage.Done}. */
        DONE,
        /** {@link PermitMessage.Release}. */
        RELEASE,
        /** {@link PermitMessage.Renewal}. */
        RENEWAL
    }

    /** Prevents instances of this utility class. */
    private PermitCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes
     * @throws IOException never, since the packer writes to memory
     */
    public static byte[] encode(PermitMessage message) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            if (message instanceof PermitMessage.Ask ask) {
                packer.packInt(Kind.ASK.ordinal());
                packer.packLong(ask.id());
                packer.packString(ask.server().value());
                packer.packInt(ask.priority());
                packer.packLong(ask.tokens());
                packer.packLong(ask.limitTokens());
                packer.packLong(ask.sharedLimitTokens());
                packer.packBoolean(ask.guarded());
                if (ask.slots() > 0) {
                    packer.packInt(ask.slots());
                }
            } else if (message instanceof PermitMessage.Reply reply) {
                packer.packInt(Kind.REPLY.ordinal());
                packer.packLong(reply.id());
                packer.packBoolean(reply.granted());
                packer.packLong(reply.waitingTokens());
            } else if (message instanceof PermitMessage.Done done) {
                packer.packInt(Kind.DONE.ordinal());
                packer.packLong(done.id());
                packer.packString(done.server().value());
            } else if (message instanceof PermitMessage.Release release) {
                packer.packInt(Kind.RELEASE.ordinal());
                packer.packLong(release.id());
                packer.packString(release.server().value());
            } else if (message instanceof PermitMessage.Renewal renewal) {
                packer.packInt(Kind.RENEWAL.ordinal());
                packer.packInt(renewal.entries().size());
                for (PermitMessage.Renewal.Entry entry : renewal.entries()) {
                    packer.packLong(entry.id());
                    packer.packString(entry.server().value());
                    packer.packInt(entry.priority());
                    packer.packBoolean(entry.processed());
                }
            }
            return packer.toByteArray();
        }
    }

    /**
     * Tells whether a datagram has this format. MessagePack encodes small numbers in one byte.
     *
     * @param bytes the bytes of a datagram
     * @param length the number of bytes of the datagram in the array
     * @return true if it has
     */
    static boolean isPermit(byte[] bytes, int length) {
        return length > 0 && bytes[0] == FORMAT;
    }

    /**
     * Decodes a message.
     *
     * @param bytes the bytes of a datagram
     * @param length the number of bytes of the datagram in the array
     * @return the message
     * @throws IOException if the bytes are not a message of this format
     */
    public static PermitMessage decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            if (unpacker.unpackInt() != FORMAT) {
                throw new IOException("unknown format of a permit message");
            }
            int kind = unpacker.unpackInt();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new IOException("unknown kind of permit message");
            }
            long id = unpacker.unpackLong();
            return switch (Kind.values()[kind]) {
                case ASK ->
                        new PermitMessage.Ask(
                                id,
                                new BackendServerId(unpacker.unpackString()),
                                unpacker.unpackInt(),
                                unpacker.unpackLong(),
                                unpacker.unpackLong(),
                                unpacker.unpackLong(),
                                unpacker.unpackBoolean(),
                                unpacker.hasNext() ? unpacker.unpackInt() : 0);
                case REPLY ->
                        new PermitMessage.Reply(
                                id, unpacker.unpackBoolean(), unpacker.unpackLong());
                case DONE ->
                        new PermitMessage.Done(id, new BackendServerId(unpacker.unpackString()));
                case RELEASE ->
                        new PermitMessage.Release(id, new BackendServerId(unpacker.unpackString()));
                case RENEWAL -> renewal(unpacker, id);
            };
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed permit message", e);
        }
    }

    /**
     * Decodes the rest of a renewal.
     *
     * @param unpacker provides the bytes
     * @param size the number of entries that the message states
     * @return the renewal
     * @throws IOException if the bytes end before
     */
    private static PermitMessage.Renewal renewal(MessageUnpacker unpacker, long size)
            throws IOException {
        List<PermitMessage.Renewal.Entry> entries = new ArrayList<>();
        for (long i = 0; i < size; i++) {
            entries.add(
                    new PermitMessage.Renewal.Entry(
                            unpacker.unpackLong(),
                            new BackendServerId(unpacker.unpackString()),
                            unpacker.unpackInt(),
                            unpacker.unpackBoolean()));
        }
        return new PermitMessage.Renewal(entries);
    }
}
