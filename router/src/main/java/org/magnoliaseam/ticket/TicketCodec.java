package org.magnoliaseam.ticket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Converts tickets to signed URL-safe text and back. Thread-safe. */
public final class TicketCodec {

    /** The maximum length of an accepted text, in characters. */
    public static final int MAX_TEXT_LENGTH = 1024;

    /** The name of the MAC algorithm. */
    private static final String MAC_ALGORITHM = "HmacSHA256";

    /** The length of the MAC in bytes. */
    private static final int MAC_BYTES = 32;

    /** The number of fields in the signed part. */
    private static final int FIELD_COUNT = 7;

    /** The prefix that separates these MACs from other uses of the same secret. */
    private static final byte[] DOMAIN_PREFIX =
            "magnoliaseam/ticket/1\n".getBytes(StandardCharsets.US_ASCII);

    /** The key of the MAC. */
    private final SecretKeySpec mKey;

    /**
     * Creates a codec.
     *
     * @param secret the secret that the entry VMs of a site share
     */
    public TicketCodec(byte[] secret) {
        mKey = new SecretKeySpec(secret, MAC_ALGORITHM);
    }

    /**
     * Converts a ticket to text.
     *
     * @param ticket the ticket
     * @return the signed text
     */
    public String encode(Ticket ticket) {
        byte[] fields = pack(ticket);
        byte[] signed = Arrays.copyOf(fields, fields.length + MAC_BYTES);
        System.arraycopy(mac(fields), 0, signed, fields.length, MAC_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
    }

    /**
     * Decodes a text that a caller sent. Checks the format and the MAC, but not the expiry.
     *
     * @param text the text
     * @return the ticket, or the reason why the text is rejected
     */
    public DecodedTicket decode(String text) {
        if (text.length() > MAX_TEXT_LENGTH) {
            return new DecodedTicket.Malformed();
        }
        byte[] signed;
        try {
            signed = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return new DecodedTicket.Malformed();
        }
        if (signed.length <= MAC_BYTES) {
            return new DecodedTicket.Malformed();
        }
        byte[] fields = Arrays.copyOf(signed, signed.length - MAC_BYTES);
        byte[] mac = Arrays.copyOfRange(signed, fields.length, signed.length);
        if (!MessageDigest.isEqual(mac, mac(fields))) {
            return new DecodedTicket.Forged();
        }
        return unpack(fields);
    }

    /**
     * Computes the MAC of the signed part.
     *
     * @param fields the signed part
     * @return the MAC
     */
    private byte[] mac(byte[] fields) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(mKey);
            mac.update(DOMAIN_PREFIX);
            return mac.doFinal(fields);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA256 is not available", e);
        }
    }

    /**
     * Converts a ticket to MessagePack.
     *
     * @param ticket the ticket
     * @return the signed part
     */
    private static byte[] pack(Ticket ticket) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packString(ticket.home().value());
            packer.packLong(ticket.incarnation().value());
            packer.packLong(ticket.sequence());
            packer.packLong(ticket.issuedAtMillis());
            packer.packLong(ticket.ttlMillis());
            packer.packString(ticket.account().value());
            packer.packString(ticket.requestClass().value());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("packing to memory failed", e);
        }
    }

    /**
     * Converts MessagePack to a ticket.
     *
     * @param fields the signed part
     * @return the ticket, or the reason why the text is rejected
     */
    private static DecodedTicket unpack(byte[] fields) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(fields)) {
            if (unpacker.unpackArrayHeader() != FIELD_COUNT) {
                return new DecodedTicket.Malformed();
            }
            return new DecodedTicket.Valid(
                    new Ticket(
                            new VmId(unpacker.unpackString()),
                            new Incarnation(unpacker.unpackLong()),
                            unpacker.unpackLong(),
                            unpacker.unpackLong(),
                            unpacker.unpackLong(),
                            new ClientAccountId(unpacker.unpackString()),
                            new RequestClassId(unpacker.unpackString())));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return new DecodedTicket.Malformed();
        }
    }
}
