package org.magnoliaseam.peer;

import java.io.IOException;
import java.util.Optional;

/** Lists the types of frames with their codes and decoders. */
enum FrameType {
    /** Reports the state of the sender. */
    HEARTBEAT(1, in -> new Frame.Heartbeat(SummaryCodec.unpack(in))),
    /** Asks for a pong. */
    PING(2, in -> new Frame.Ping()),
    /** Confirms a ping or a heartbeat. */
    PONG(3, in -> new Frame.Pong()),
    /** Asks for the configuration. */
    CONFIGURATION_REQUEST(4, in -> new Frame.ConfigurationRequest(in.natural())),
    /** Answers with the configuration. */
    CONFIGURATION_REPLY(5, in -> new Frame.ConfigurationReply(RequestCodec.unpackText(in))),
    /** Starts a request. */
    OPEN(6, RequestCodec::unpackOpen),
    /** Holds a part of a request body. */
    BODY_CHUNK(7, RequestCodec::unpackBodyChunk),
    /** Stops a request. */
    CANCEL(8, in -> new Frame.Cancel(in.natural())),
    /** Grants credit to send more of an answer. */
    CREDIT(9, in -> new Frame.Credit(in.natural(), in.between(1, PeerLimits.STREAM_WINDOW_BYTES))),
    /** Holds the head of an answer. */
    HEAD(10, in -> new Frame.Head(in.natural(), RequestCodec.unpackHead(in))),
    /** Holds a part of an answer. */
    ANSWER_CHUNK(
            11, in -> new Frame.AnswerChunk(in.natural(), in.bytes(1, PeerLimits.CHUNK_BYTES))),
    /** Ends a complete answer. */
    END(12, in -> new Frame.End(in.natural())),
    /** Ends an exchange with a refusal. */
    REFUSE(13, in -> new Frame.Refuse(in.natural(), RequestCodec.unpackRefusal(in))),
    /** Reports the state of the sender without the lists, which are those of the last heartbeat. */
    PULSE(14, in -> new Frame.Pulse(SummaryCodec.unpack(in)));

    /** The code in the encoded frame. */
    private final int mCode;

    /** Decodes the fields that follow the code. */
    private final Decoder mDecoder;

    /**
     * Creates a type.
     *
     * @param code the code in the encoded frame
     * @param decoder decodes the fields that follow the code
     */
    FrameType(int code, Decoder decoder) {
        mCode = code;
        mDecoder = decoder;
    }

    /**
     * Finds the type with a code.
     *
     * @param code the code
     * @return the type, or empty if there is none
     */
    static Optional<FrameType> of(int code) {
        for (FrameType type : values()) {
            if (type.mCode == code) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code in the encoded frame.
     *
     * @return the code
     */
    int code() {
        return mCode;
    }

    /**
     * Decodes the fields that follow the code.
     *
     * @param in the fields to read
     * @return the frame
     * @throws IOException if the fields end early
     * @throws FrameException if a field is out of range
     */
    Frame decode(FieldReader in) throws IOException, FrameException {
        return mDecoder.decode(in);
    }

    /** Decodes the fields of one type of frame. */
    @FunctionalInterface
    private interface Decoder {

        /**
         * Decodes the fields that follow the code.
         *
         * @param in the fields to read
         * @return the frame
         * @throws IOException if the fields end early
         * @throws FrameException if a field is out of range
         */
        Frame decode(FieldReader in) throws IOException, FrameException;
    }
}
