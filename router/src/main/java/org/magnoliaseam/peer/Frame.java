package org.magnoliaseam.peer;

import java.io.IOException;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.settings.ConfigurationText;
import org.msgpack.core.MessagePacker;

/** Holds one message between two authenticated entry VMs. */
sealed interface Frame {

    /**
     * Returns the type, which is the first field of the encoded frame.
     *
     * @return the type
     */
    FrameType type();

    /**
     * Encodes the fields that follow the type.
     *
     * @param packer receives the fields
     * @throws IOException never for a packer in memory
     */
    void pack(MessagePacker packer) throws IOException;

    /**
     * Passes the frame to the matching method of a handler.
     *
     * @param handler the handler
     * @return whether the handler expected the frame
     */
    boolean deliver(FrameHandler handler);

    /**
     * Reports the state of the sender to a peer.
     *
     * @param summary the state
     */
    record Heartbeat(PeerSummary summary) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.HEARTBEAT;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            SummaryCodec.pack(summary, packer);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.heartbeat(summary);
        }
    }

    /**
     * Reports the state of the sender without the lists, which are unchanged since the last
     * heartbeat that was written to the same connection.
     *
     * @param summary the state with empty lists
     */
    record Pulse(PeerSummary summary) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.PULSE;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            SummaryCodec.pack(summary, packer);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.pulse(summary);
        }
    }

    /** Asks for a pong. */
    record Ping() implements Frame {
        @Override
        public FrameType type() {
            return FrameType.PING;
        }

        @Override
        public void pack(MessagePacker packer) {}

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.ping();
        }
    }

    /** Confirms a ping or a heartbeat. */
    record Pong() implements Frame {
        @Override
        public FrameType type() {
            return FrameType.PONG;
        }

        @Override
        public void pack(MessagePacker packer) {}

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.pong();
        }
    }

    /**
     * Asks for the configuration.
     *
     * @param newerThan the version that the sender has
     */
    record ConfigurationRequest(long newerThan) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.CONFIGURATION_REQUEST;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(newerThan);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.configurationRequest(newerThan);
        }
    }

    /**
     * Answers with the configuration.
     *
     * @param text the configuration
     */
    record ConfigurationReply(ConfigurationText text) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.CONFIGURATION_REPLY;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(text.version());
            packer.packString(text.base());
            packer.packString(text.overlay());
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.configurationReply(text);
        }
    }

    /**
     * Starts a request.
     *
     * @param stream the number of the stream
     * @param request the request; its body is not part of the frame
     * @param bodyBytes the length of the body that follows
     */
    record Open(long stream, ForwardedRequest request, int bodyBytes) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.OPEN;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
            packer.packInt(bodyBytes);
            RequestCodec.pack(request, packer);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.open(stream, request, bodyBytes);
        }
    }

    /**
     * Holds a part of a request body.
     *
     * @param stream the number of the stream
     * @param bytes the array that holds the part
     * @param offset the start of the part
     * @param length the length of the part
     */
    record BodyChunk(long stream, byte[] bytes, int offset, int length) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.BODY_CHUNK;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
            packer.packBinaryHeader(length);
            packer.writePayload(bytes, offset, length);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.bodyChunk(stream, bytes);
        }
    }

    /**
     * Stops a request.
     *
     * @param stream the number of the stream
     */
    record Cancel(long stream) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.CANCEL;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.cancel(stream);
        }
    }

    /**
     * Grants credit to send more of an answer.
     *
     * @param stream the number of the stream
     * @param bytes the additional bytes
     */
    record Credit(long stream, int bytes) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.CREDIT;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
            packer.packInt(bytes);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.credit(stream, bytes);
        }
    }

    /**
     * Holds the head of an answer.
     *
     * @param stream the number of the stream
     * @param head the head
     */
    record Head(long stream, AnswerHead head) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.HEAD;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
            packer.packInt(head.status());
            RequestCodec.packHeaders(head.headers(), packer);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.head(stream, head);
        }
    }

    /**
     * Holds a part of an answer.
     *
     * @param stream the number of the stream
     * @param bytes the part
     */
    record AnswerChunk(long stream, byte[] bytes) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.ANSWER_CHUNK;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
            packer.packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.answerChunk(stream, bytes);
        }
    }

    /**
     * Ends a complete answer.
     *
     * @param stream the number of the stream
     */
    record End(long stream) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.END;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.end(stream);
        }
    }

    /**
     * Ends an exchange with a refusal.
     *
     * @param stream the number of the stream
     * @param refusal the refusal
     */
    record Refuse(long stream, Refusal refusal) implements Frame {
        @Override
        public FrameType type() {
            return FrameType.REFUSE;
        }

        @Override
        public void pack(MessagePacker packer) throws IOException {
            packer.packLong(stream);
            packer.packString(refusal.kind().name());
            packer.packString(refusal.detail());
        }

        @Override
        public boolean deliver(FrameHandler handler) {
            return handler.refuse(stream, refusal);
        }
    }
}
