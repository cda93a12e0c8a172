package org.magnoliaseam.gossip;

import java.io.IOException;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.spillover.Crossing;
import org.magnoliaseam.spillover.DomainDemand;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the demand that an entry VM reports for its failure domain. Rates are written with single
 * precision, which is far more exact than their measurement.
 */
final class DomainDemandCodec {

    /** Prevents instances of this utility class. */
    private DomainDemandCodec() {}

    /**
     * Writes the demand for each service.
     *
     * @param demands the demands
     * @param packer writes the digest
     * @throws IOException never, since the packer writes to memory
     */
    static void encode(List<DomainDemand> demands, MessagePacker packer) throws IOException {
        packer.packArrayHeader(demands.size());
        for (DomainDemand demand : demands) {
            packer.packString(demand.service().value());
            packer.packString(demand.domain().value());
            packer.packFloat((float) demand.servers());
            packer.packArrayHeader(demand.sent().size());
            for (Crossing crossing : demand.sent()) {
                packer.packString(crossing.to().value());
                packer.packFloat((float) crossing.servers());
            }
        }
    }

    /**
     * Reads the demand for each service.
     *
     * @param unpacker reads the digest
     * @return the demands
     * @throws IOException if they are malformed
     */
    static List<DomainDemand> decode(MessageUnpacker unpacker) throws IOException {
        return DigestCodec.list(
                unpacker,
                reader ->
                        new DomainDemand(
                                new ServiceName(reader.unpackString()),
                                new FailureDomain(reader.unpackString()),
                                rate(reader),
                                DigestCodec.list(reader, DomainDemandCodec::crossing)));
    }

    /**
     * Reads the work that is sent to a failure domain.
     *
     * @param unpacker reads the digest
     * @return the work
     * @throws IOException if it is malformed
     */
    private static Crossing crossing(MessageUnpacker unpacker) throws IOException {
        return new Crossing(new FailureDomain(unpacker.unpackString()), rate(unpacker));
    }

    /**
     * Reads a rate.
     *
     * @param unpacker reads the digest
     * @return the rate in servers
     * @throws IOException if it is not a number of zero or more
     */
    private static double rate(MessageUnpacker unpacker) throws IOException {
        double rate = unpacker.unpackFloat();
        if (!(rate >= 0) || Double.isInfinite(rate)) {
            throw new IOException("invalid rate in a digest");
        }
        return rate;
    }
}
