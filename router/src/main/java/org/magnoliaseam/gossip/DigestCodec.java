package org.magnoliaseam.gossip;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ServiceName;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes digests with MessagePack. */
final class DigestCodec {

    /** The version of the format. */
    private static final int FORMAT = 1;

    /** The largest number of elements in a list. */
    private static final int MAX_ELEMENTS = 4096;

    /** Prevents instances of this utility class. */
    private DigestCodec() {}

    /**
     * Encodes a digest.
     *
     * @param digest the digest
     * @return the bytes
     * @throws IOException never for a packer in memory
     */
    static byte[] encode(Digest digest) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packLong(digest.incarnation());
            packer.packLong(digest.sequence());
            packer.packArrayHeader(digest.peers().size());
            for (PeerEndpoint peer : digest.peers()) {
                packer.packString(peer.host());
                packer.packInt(peer.port());
            }
            packer.packArrayHeader(digest.loads().size());
            for (ServerLoad load : digest.loads()) {
                packer.packString(load.server().value());
                packer.packInt(load.running());
                packer.packLong(load.pendingTokens());
            }
            packer.packArrayHeader(digest.demands().size());
            for (Demand demand : digest.demands()) {
                packer.packString(demand.service().value());
                packer.packLong(demand.pauseMillis());
                packer.packDouble(demand.work());
            }
            return packer.toByteArray();
        }
    }

    /**
     * Decodes a digest.
     *
     * @param bytes the bytes of a datagram
     * @param length the number of bytes that count
     * @return the digest
     * @throws IOException if the bytes are no digest of this format
     */
    static Digest decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            if (unpacker.unpackInt() != FORMAT) {
                throw new IOException("unknown format");
            }
            long incarnation = unpacker.unpackLong();
            long sequence = unpacker.unpackLong();
            List<PeerEndpoint> peers = new ArrayList<>();
            for (int left = count(unpacker); left > 0; left--) {
                peers.add(new PeerEndpoint(unpacker.unpackString(), unpacker.unpackInt()));
            }
            List<ServerLoad> loads = new ArrayList<>();
            for (int left = count(unpacker); left > 0; left--) {
                BackendServerId server = new BackendServerId(unpacker.unpackString());
                loads.add(new ServerLoad(server, unpacker.unpackInt(), unpacker.unpackLong()));
            }
            List<Demand> demands = new ArrayList<>();
            for (int left = count(unpacker); left > 0; left--) {
                ServiceName service = new ServiceName(unpacker.unpackString());
                demands.add(new Demand(service, unpacker.unpackLong(), unpacker.unpackDouble()));
            }
            return new Digest(incarnation, sequence, peers, loads, demands);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed digest", e);
        }
    }

    /**
     * Reads the length of a list.
     *
     * @param unpacker the digest
     * @return the number of elements
     * @throws IOException if it is too large
     */
    private static int count(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_ELEMENTS) {
            throw new IOException("too many elements");
        }
        return count;
    }
}
