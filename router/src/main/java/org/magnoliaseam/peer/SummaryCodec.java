package org.magnoliaseam.peer;

import java.io.IOException;
import java.util.List;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.SuspectNotice;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.fleet.WarmServer;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;
import org.msgpack.core.MessagePacker;

/** Encodes summaries as records; the decoder skips trailing fields that it does not know. */
final class SummaryCodec {

    /** The largest accepted length of an identifier or fingerprint in characters. */
    private static final int TEXT_CHARS = 256;

    /** The largest accepted number of elements of a list in a summary. */
    private static final int LIST_ELEMENTS = 4096;

    /** The number of fields of a summary. */
    private static final int SUMMARY_FIELDS = 13;

    /** The number of fields of the load of a tier. */
    private static final int PRESSURE_FIELDS = 4;

    /** The number of fields of the free slots of a class. */
    private static final int FREE_SLOTS_FIELDS = 2;

    /** The number of fields of a warm server. */
    private static final int WARM_SERVER_FIELDS = 2;

    /** The number of fields of a suspect request. */
    private static final int SUSPECT_FIELDS = 3;

    /** Prevents instances of this utility class. */
    private SummaryCodec() {}

    /**
     * Encodes a summary.
     *
     * @param summary the summary
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    static void pack(PeerSummary summary, MessagePacker packer) throws IOException {
        packer.packArrayHeader(SUMMARY_FIELDS);
        packer.packString(summary.vm().value());
        packer.packLong(summary.incarnation().value());
        packer.packLong(summary.sequence());
        packer.packLong(summary.configurationVersion());
        packer.packLong(summary.memberListVersion());
        packer.packBoolean(summary.ready());
        packer.packBoolean(summary.leaving());
        packPressure(summary.pressure(), packer);
        packFreeSlots(summary.room(), packer);
        packWarmServers(summary.warmServers(), packer);
        packSuspects(summary.suspects(), packer);
        packer.packLong(summary.firstTries());
        packer.packLong(summary.retries());
    }

    /**
     * Decodes a summary.
     *
     * @param in the fields to read
     * @return the summary
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    static PeerSummary unpack(FieldReader in) throws IOException, FrameException {
        int unknown = in.recordHeader(SUMMARY_FIELDS);
        PeerSummary summary =
                new PeerSummary(
                        new VmId(in.text(TEXT_CHARS)),
                        new Incarnation(in.integer()),
                        in.natural(),
                        in.natural(),
                        in.natural(),
                        in.flag(),
                        in.flag(),
                        in.list(Tier.LOWEST_RANK, SummaryCodec::unpackPressure),
                        in.list(LIST_ELEMENTS, SummaryCodec::unpackFreeSlots),
                        in.list(LIST_ELEMENTS, SummaryCodec::unpackWarmServer),
                        in.list(LIST_ELEMENTS, SummaryCodec::unpackSuspect),
                        in.natural(),
                        in.natural());
        in.skip(unknown);
        return summary;
    }

    /**
     * Encodes the load of the tiers.
     *
     * @param pressure the load of the tiers
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    private static void packPressure(List<TierLoad> pressure, MessagePacker packer)
            throws IOException {
        packer.packArrayHeader(pressure.size());
        for (TierLoad tier : pressure) {
            packer.packArrayHeader(PRESSURE_FIELDS);
            packer.packInt(tier.tier().rank());
            packer.packInt(tier.queued());
            packer.packLong(tier.oldestWaitMillis());
            packer.packInt(tier.running());
        }
    }

    /**
     * Decodes the load of a tier.
     *
     * @param in the fields to read
     * @return the load
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    private static TierLoad unpackPressure(FieldReader in) throws IOException, FrameException {
        int unknown = in.recordHeader(PRESSURE_FIELDS);
        TierLoad pressure =
                new TierLoad(
                        new Tier(in.between(1, Tier.LOWEST_RANK)),
                        in.between(0, Integer.MAX_VALUE),
                        in.natural(),
                        in.between(0, Integer.MAX_VALUE));
        in.skip(unknown);
        return pressure;
    }

    /**
     * Encodes the free slots of each class.
     *
     * @param freeSlots the free slots of each class
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    private static void packFreeSlots(List<ClassFreeSlots> freeSlots, MessagePacker packer)
            throws IOException {
        packer.packArrayHeader(freeSlots.size());
        for (ClassFreeSlots entry : freeSlots) {
            packer.packArrayHeader(FREE_SLOTS_FIELDS);
            packer.packInt(entry.classKey());
            packer.packInt(entry.freeSlots());
        }
    }

    /**
     * Decodes the free slots of a class.
     *
     * @param in the fields to read
     * @return the free slots
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    private static ClassFreeSlots unpackFreeSlots(FieldReader in)
            throws IOException, FrameException {
        int unknown = in.recordHeader(FREE_SLOTS_FIELDS);
        ClassFreeSlots freeSlots =
                new ClassFreeSlots(
                        in.between(Integer.MIN_VALUE, Integer.MAX_VALUE),
                        in.between(0, Integer.MAX_VALUE));
        in.skip(unknown);
        return freeSlots;
    }

    /**
     * Encodes the warm servers.
     *
     * @param servers the servers
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    private static void packWarmServers(List<WarmServer> servers, MessagePacker packer)
            throws IOException {
        packer.packArrayHeader(servers.size());
        for (WarmServer server : servers) {
            packer.packArrayHeader(WARM_SERVER_FIELDS);
            packer.packString(server.server().value());
            packer.packString(server.startId().value());
        }
    }

    /**
     * Decodes a warm server.
     *
     * @param in the fields to read
     * @return the server
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    private static WarmServer unpackWarmServer(FieldReader in) throws IOException, FrameException {
        int unknown = in.recordHeader(WARM_SERVER_FIELDS);
        WarmServer server =
                new WarmServer(
                        new BackendServerId(in.text(TEXT_CHARS)), new StartId(in.text(TEXT_CHARS)));
        in.skip(unknown);
        return server;
    }

    /**
     * Encodes the requests that are suspected of crashing backend servers.
     *
     * @param suspects the suspect requests
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    private static void packSuspects(List<SuspectNotice> suspects, MessagePacker packer)
            throws IOException {
        packer.packArrayHeader(suspects.size());
        for (SuspectNotice suspect : suspects) {
            packer.packArrayHeader(SUSPECT_FIELDS);
            packer.packString(suspect.fingerprint());
            packer.packInt(suspect.crashes());
            packer.packLong(suspect.ageMillis());
        }
    }

    /**
     * Decodes a suspect request.
     *
     * @param in the fields to read
     * @return the suspect request
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    private static SuspectNotice unpackSuspect(FieldReader in) throws IOException, FrameException {
        int unknown = in.recordHeader(SUSPECT_FIELDS);
        SuspectNotice suspect =
                new SuspectNotice(
                        in.text(TEXT_CHARS), in.between(0, Integer.MAX_VALUE), in.natural());
        in.skip(unknown);
        return suspect;
    }
}
