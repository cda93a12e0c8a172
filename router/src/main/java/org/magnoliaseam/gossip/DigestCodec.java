package org.magnoliaseam.gossip;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.rollout.Revision;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes digests with MessagePack. */
final class DigestCodec {

    /**
     * The version of the format. It differs from those of all other datagrams of the peer port,
     * which are told apart by their first byte.
     */
    private static final int FORMAT = 12;

    /** The largest number of elements in a list. */
    private static final int MAX_ELEMENTS = 4096;

    /** Prevents instances of this utility class. */
    private DigestCodec() {}

    /**
     * Encodes a digest.
     *
     * @param digest the digest
     * @return the bytes
     * @throws IOException never, since the packer writes to memory
     */
    static byte[] encode(Digest digest) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packLong(digest.incarnation());
            packer.packLong(digest.sequence());
            packer.packInt(digest.vms());
            packer.packLong(digest.publishedRevision().era());
            packer.packLong(digest.publishedRevision().number());
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
            packer.packArrayHeader(digest.reads().size());
            for (PartRead read : digest.reads()) {
                packer.packString(read.server().value());
                packer.packString(read.part());
                packer.packInt(read.tokens());
            }
            packer.packArrayHeader(digest.leaving().size());
            for (ServerIncarnation server : digest.leaving()) {
                packer.packString(server.id().value());
                packer.packLong(server.startMark());
            }
            DomainDemandCodec.encode(digest.domainDemands(), packer);
            CrashNewsCodec.encode(digest.crashes(), packer);
            return packer.toByteArray();
        }
    }

    /**
     * Decodes a digest.
     *
     * @param bytes the bytes of a datagram
     * @param length the number of bytes of the datagram in the array
     * @return the digest
     * @throws IOException if the bytes are not a digest of this format
     */
    static Digest decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            if (unpacker.unpackInt() != FORMAT) {
                throw new IOException("unknown digest format");
            }
            long incarnation = unpacker.unpackLong();
            long sequence = unpacker.unpackLong();
            int vms = unpacker.unpackInt();
            Revision publishedRevision = new Revision(unpacker.unpackLong(), unpacker.unpackLong());
            return new Digest(
                    incarnation,
                    sequence,
                    vms,
                    publishedRevision,
                    list(unpacker, DigestCodec::peer),
                    list(unpacker, DigestCodec::load),
                    list(unpacker, DigestCodec::demand),
                    list(unpacker, DigestCodec::read),
                    list(unpacker, DigestCodec::leaving),
                    DomainDemandCodec.decode(unpacker),
                    CrashNewsCodec.decode(unpacker));
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed digest", e);
        }
    }

    /**
     * Reads one element of a list.
     *
     * @param <T> the type of the element
     */
    @FunctionalInterface
    interface ElementReader<T> {

        /**
         * Reads an element.
         *
         * @param unpacker reads the digest
         * @return the element
         * @throws IOException if the element is malformed
         */
        T read(MessageUnpacker unpacker) throws IOException;
    }

    /**
     * Reads a list.
     *
     * @param unpacker reads the digest
     * @param reader reads an element
     * @param <T> the type of the elements
     * @return the elements
     * @throws IOException if the list is too long or malformed
     */
    static <T> List<T> list(MessageUnpacker unpacker, ElementReader<T> reader) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_ELEMENTS) {
            throw new IOException("too many elements in a list of a digest");
        }
        List<T> elements = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            elements.add(reader.read(unpacker));
        }
        return elements;
    }

    /**
     * Reads the address of a peer.
     *
     * @param unpacker reads the digest
     * @return the address
     * @throws IOException if the element is malformed
     */
    private static PeerEndpoint peer(MessageUnpacker unpacker) throws IOException {
        return new PeerEndpoint(unpacker.unpackString(), unpacker.unpackInt());
    }

    /**
     * Reads the load of a backend server.
     *
     * @param unpacker reads the digest
     * @return the load
     * @throws IOException if the element is malformed
     */
    private static ServerLoad load(MessageUnpacker unpacker) throws IOException {
        BackendServerId server = new BackendServerId(unpacker.unpackString());
        return new ServerLoad(server, unpacker.unpackInt(), unpacker.unpackLong());
    }

    /**
     * Reads the demand for a kind of request.
     *
     * @param unpacker reads the digest
     * @return the demand
     * @throws IOException if the element is malformed
     */
    private static Demand demand(MessageUnpacker unpacker) throws IOException {
        ServiceName service = new ServiceName(unpacker.unpackString());
        return new Demand(service, unpacker.unpackLong(), unpacker.unpackDouble());
    }

    /**
     * Reads a prompt part that was sent to a backend server.
     *
     * @param unpacker reads the digest
     * @return the part
     * @throws IOException if the element is malformed
     */
    private static PartRead read(MessageUnpacker unpacker) throws IOException {
        BackendServerId server = new BackendServerId(unpacker.unpackString());
        return new PartRead(server, unpacker.unpackString(), unpacker.unpackInt());
    }

    /**
     * Reads a start of a backend server that is leaving.
     *
     * @param unpacker reads the datagram
     * @return the start of the backend server
     * @throws IOException if it is malformed
     */
    private static ServerIncarnation leaving(MessageUnpacker unpacker) throws IOException {
        BackendServerId server = new BackendServerId(unpacker.unpackString());
        return new ServerIncarnation(server, unpacker.unpackLong());
    }
}
