package org.magnoliaseam.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;

/** Measures the size of heartbeats and the resulting control traffic of a node. */
class HeartbeatSizeTest {

    private static final PeerIdentity SELF =
            new PeerIdentity(new VmId("entry-erongo-1"), new Incarnation(0x1234_5678_9abc_def0L));
    private static final int OVERHEAD_BYTES = Integer.BYTES + FrameAuthenticator.TAG_BYTES;
    private static final int PACKET_BYTES = 52;
    private static final double ROUNDS_PER_SECOND = 2.5;
    private static final int CONTROL_BYTES_PER_SECOND = 16_000;

    private static int bytes(Frame frame) {
        return FrameCodec.encode(frame).length + OVERHEAD_BYTES;
    }

    private static int pulseBytes() {
        PeerSummary summary = Fixtures.summary(SELF, 200_000, 22, 3);
        return bytes(new Frame.Pulse(SummaryLists.strip(summary)));
    }

    @Test
    void sizesAreReported() {
        for (int warm : new int[] {0, 6, 22}) {
            for (int suspects : new int[] {0, 3}) {
                PeerSummary summary = Fixtures.summary(SELF, 200_000, warm, suspects);
                System.out.printf(
                        "%d warm servers, %d suspects: heartbeat %d bytes, pulse %d bytes%n",
                        warm, suspects, bytes(new Frame.Heartbeat(summary)), pulseBytes());
            }
        }
        assertThat(bytes(new Frame.Pong())).isLessThan(PACKET_BYTES);
    }

    @Test
    void controlTrafficOfNodeStaysWithinTheLimit() {
        int pulse = pulseBytes() + PACKET_BYTES;
        int pong = bytes(new Frame.Pong()) + PACKET_BYTES;
        int acknowledgement = PACKET_BYTES;
        double heartbeats = ROUNDS_PER_SECOND * PeerLimits.HEARTBEATS_A_ROUND;
        double sent = heartbeats * (pulse + pong + acknowledgement);
        System.out.printf("at most %.0f bytes a second sent, as many received%n", sent);
        assertThat(2 * sent).isLessThan(CONTROL_BYTES_PER_SECOND);
    }
}
