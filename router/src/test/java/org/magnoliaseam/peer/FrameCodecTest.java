package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.ConfigurationText;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests the conversion of frames to bytes and back. */
class FrameCodecTest {

    private static final PeerIdentity SELF =
            new PeerIdentity(new VmId("entry-1"), new Incarnation(Long.MIN_VALUE));

    static List<Frame> frames() {
        return List.of(
                new Frame.Heartbeat(Fixtures.summary(SELF, 7, 6, 2)),
                new Frame.Pulse(Fixtures.summary(SELF, 8, 0, 1)),
                new Frame.Ping(),
                new Frame.Pong(),
                new Frame.ConfigurationRequest(3),
                new Frame.ConfigurationReply(new ConfigurationText(4, "a = 1", "b = \"ü\"")),
                new Frame.Open(9, Fixtures.request(SELF, "request-1", new byte[0]), 4_000_000),
                new Frame.Cancel(9),
                new Frame.Credit(9, 65_536),
                new Frame.Head(9, new AnswerHead(200, List.of(new Header("X-A", "b")))),
                new Frame.End(9),
                new Frame.Refuse(9, Refusal.of(ErrorKind.TICKET_EXPIRED)));
    }

    private static Result<Frame, FrameFault> err(FrameFault fault) {
        return Result.err(fault);
    }

    @ParameterizedTest
    @MethodSource("frames")
    void decodedFrameEqualsTheEncodedOne(Frame frame) {
        Frame decoded = decoded(FrameCodec.encode(frame));
        assertThat(decoded).usingRecursiveComparison().isEqualTo(frame);
    }

    private static Frame decoded(byte[] bytes) {
        return FrameCodec.decode(bytes).fold(frame -> frame, fault -> null);
    }

    @Test
    void chunksKeepTheirBytes() {
        byte[] bytes = {1, 2, 3, 4};
        Frame.AnswerChunk answer = new Frame.AnswerChunk(9, bytes);
        Frame.BodyChunk body = new Frame.BodyChunk(9, bytes, 1, 2);
        assertThat(((Frame.AnswerChunk) decoded(FrameCodec.encode(answer))).bytes())
                .isEqualTo(bytes);
        assertThat(((Frame.BodyChunk) decoded(FrameCodec.encode(body))).bytes())
                .containsExactly(2, 3);
    }

    @Test
    void unknownTrailingFieldsOfSummaryAreSkipped() throws IOException {
        byte[] known = FrameCodec.encode(frames().get(0));
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packInt(FrameType.HEARTBEAT.code());
        packer.packArrayHeader(15);
        packer.writePayload(known, 2, known.length - 2);
        packer.packArrayHeader(1).packString("new");
        packer.packLong(5);
        assertThat(decoded(packer.toByteArray())).isEqualTo(frames().get(0));
    }

    @Test
    void unknownRefusalKindIsDecodedAsOutcomeUnknown() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packInt(FrameType.REFUSE.code()).packLong(1);
        packer.packString("LATER_KIND").packString("detail");
        assertThat(decoded(packer.toByteArray()))
                .isEqualTo(new Frame.Refuse(1, new Refusal(ErrorKind.OUTCOME_UNKNOWN, "detail")));
    }

    @Test
    void unknownTypeIsReported() {
        assertThat(FrameCodec.decode(new byte[] {99})).isEqualTo(err(FrameFault.UNKNOWN_TYPE));
    }

    @Test
    void trailingByteIsReported() {
        byte[] ping = {(byte) FrameType.PING.code(), 0};
        assertThat(FrameCodec.decode(ping)).isEqualTo(err(FrameFault.MALFORMED));
    }

    @Test
    void announcedLengthBeyondTheFrameIsReported() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packInt(FrameType.ANSWER_CHUNK.code()).packLong(1).packBinaryHeader(60_000);
        assertThat(FrameCodec.decode(packer.toByteArray())).isEqualTo(err(FrameFault.TRUNCATED));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void everyShorterFrameIsReported(Frame frame) {
        byte[] bytes = FrameCodec.encode(frame);
        for (int length = 0; length < bytes.length; length++) {
            Result<Frame, FrameFault> result = FrameCodec.decode(Arrays.copyOf(bytes, length));
            assertThat(result).isEqualTo(err(FrameFault.TRUNCATED));
        }
    }

    @Property(seed = "4711", tries = 20_000)
    void randomBytesGiveFrameOrFault(@ForAll @Size(max = 200) byte[] bytes) {
        assertThat(FrameCodec.decode(bytes)).isNotNull();
    }

    @Property(seed = "4712", tries = 20_000)
    void damagedFramesGiveFrameOrFault(
            @ForAll @IntRange(max = 11) int frame,
            @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 399) Integer> places,
            @ForAll byte value) {
        byte[] bytes = FrameCodec.encode(frames().get(frame));
        for (int place : places) {
            bytes[place % bytes.length] = value;
        }
        assertThat(FrameCodec.decode(bytes)).isNotNull();
    }
}
