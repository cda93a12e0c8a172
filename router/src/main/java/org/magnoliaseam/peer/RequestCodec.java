package org.magnoliaseam.peer;

import java.io.IOException;
import java.util.List;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.ConfigurationText;
import org.msgpack.core.MessagePacker;

/** Encodes forwarded requests, the heads of answers, refusals and configurations. */
final class RequestCodec {

    /** The largest accepted length of an identifier, method or kind in characters. */
    private static final int NAME_CHARS = 256;

    /** The largest accepted length of a path, ticket, header value or detail in characters. */
    private static final int TEXT_CHARS = 64 * 1024;

    /** The largest accepted number of header fields. */
    private static final int HEADERS = 512;

    /** The lowest HTTP status. */
    private static final int LOWEST_STATUS = 100;

    /** The highest HTTP status. */
    private static final int HIGHEST_STATUS = 599;

    /** The body of a request whose body has not arrived. */
    private static final byte[] NO_BODY = new byte[0];

    /** Prevents instances of this utility class. */
    private RequestCodec() {}

    /**
     * Encodes a request without its body.
     *
     * @param request the request
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    static void pack(ForwardedRequest request, MessagePacker packer) throws IOException {
        packer.packString(request.id().value());
        packer.packInt(request.purpose().ordinal());
        packer.packString(request.from().value());
        packer.packString(request.account().value());
        packer.packString(request.requestClass().value());
        packer.packString(request.ticket());
        packer.packString(request.method());
        packer.packString(request.path());
        packHeaders(request.headers(), packer);
        packer.packLong(request.waitedMillis());
    }

    /**
     * Encodes header fields.
     *
     * @param headers the header fields
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    static void packHeaders(List<Header> headers, MessagePacker packer) throws IOException {
        packer.packArrayHeader(headers.size());
        for (Header header : headers) {
            packer.packString(header.name());
            packer.packString(header.value());
        }
    }

    /**
     * Decodes the start of a request.
     *
     * @param in the fields to read
     * @return the frame with an empty body
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    static Frame unpackOpen(FieldReader in) throws IOException, FrameException {
        long stream = in.natural();
        int bodyBytes = in.between(0, PeerLimits.BODY_BYTES);
        ForwardedRequest request =
                new ForwardedRequest(
                        new RequestId(in.text(NAME_CHARS)),
                        ForwardPurpose.values()[in.between(0, ForwardPurpose.values().length - 1)],
                        new VmId(in.text(NAME_CHARS)),
                        new ClientAccountId(in.text(NAME_CHARS)),
                        new RequestClassId(in.text(NAME_CHARS)),
                        in.text(TEXT_CHARS),
                        in.text(NAME_CHARS),
                        in.text(TEXT_CHARS),
                        in.list(HEADERS, RequestCodec::unpackHeader),
                        NO_BODY,
                        in.natural());
        return new Frame.Open(stream, request, bodyBytes);
    }

    /**
     * Decodes a part of a request body.
     *
     * @param in the fields to read
     * @return the frame
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    static Frame unpackBodyChunk(FieldReader in) throws IOException, FrameException {
        long stream = in.natural();
        byte[] bytes = in.bytes(1, PeerLimits.CHUNK_BYTES);
        return new Frame.BodyChunk(stream, bytes, 0, bytes.length);
    }

    /**
     * Decodes the head of an answer.
     *
     * @param in the fields to read
     * @return the head
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    static AnswerHead unpackHead(FieldReader in) throws IOException, FrameException {
        int status = in.between(LOWEST_STATUS, HIGHEST_STATUS);
        return new AnswerHead(status, in.list(HEADERS, RequestCodec::unpackHeader));
    }

    /**
     * Decodes a refusal. A kind that this version does not know becomes {@code OUTCOME_UNKNOWN},
     * which does not say whether the request ran.
     *
     * @param in the fields to read
     * @return the refusal
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    static Refusal unpackRefusal(FieldReader in) throws IOException, FrameException {
        String name = in.text(NAME_CHARS);
        String detail = in.text(TEXT_CHARS);
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.name().equals(name)) {
                return new Refusal(kind, detail);
            }
        }
        return new Refusal(ErrorKind.OUTCOME_UNKNOWN, detail);
    }

    /**
     * Decodes a configuration.
     *
     * @param in the fields to read
     * @return the configuration
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    static ConfigurationText unpackText(FieldReader in) throws IOException, FrameException {
        return new ConfigurationText(
                in.natural(),
                in.text(PeerLimits.CONFIGURATION_BYTES),
                in.text(PeerLimits.CONFIGURATION_BYTES));
    }

    /**
     * Decodes a header field.
     *
     * @param in the fields to read
     * @return the header field
     * @throws IOException if the fields end early
     * @throws FrameException if a field is malformed
     */
    private static Header unpackHeader(FieldReader in) throws IOException, FrameException {
        return new Header(in.text(NAME_CHARS), in.text(TEXT_CHARS));
    }
}
