package org.magnoliaseam.leaving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliaseam.model.BackendServerId;

/** Tests which starts of backend servers count as leaving. */
class LeavingServersTest {

    private final LeavingServers mServers = new LeavingServers();

    private static ServerIncarnation start(long startMark) {
        return new ServerIncarnation(new BackendServerId("a"), startMark);
    }

    @Test
    void firstSourceCounts() {
        assertThat(mServers.learn(start(5), LeavingSource.ANSWER, 1)).isTrue();
        assertThat(mServers.learn(start(5), LeavingSource.PEER, 2)).isFalse();
        assertThat(mServers.endedBy(start(6)).orElseThrow().source())
                .isEqualTo(LeavingSource.ANSWER);
    }

    @Test
    void laterStartIsNotLeaving() {
        mServers.learn(start(5), LeavingSource.PUBLISHER, 1);
        assertThat(mServers.isLeaving(start(6))).isFalse();
        assertThat(mServers.isLeaving(start(5))).isTrue();
    }

    @Test
    void earlierStartIsLeavingIfALaterOneIs() {
        mServers.learn(start(5), LeavingSource.PEER, 1);
        assertThat(mServers.isLeaving(start(4))).isTrue();
        assertThat(mServers.endedBy(start(4))).isEmpty();
    }

    @Test
    void unknownStartIsTheSameStart() {
        mServers.learn(start(0), LeavingSource.ANSWER, 1);
        assertThat(mServers.isLeaving(start(7))).isTrue();
        assertThat(mServers.isLeaving(start(0))).isTrue();
    }

    @Test
    void laterStartMayLeaveToo() {
        mServers.learn(start(5), LeavingSource.ANSWER, 1);
        assertThat(mServers.learn(start(6), LeavingSource.ANSWER, 2)).isTrue();
        assertThat(mServers.isLeaving(start(6))).isTrue();
    }

    @Test
    void manyServersAreKeptWithinABound() {
        for (int i = 0; i < 10_000; i++) {
            mServers.learn(
                    new ServerIncarnation(new BackendServerId("s" + i), 1),
                    LeavingSource.ANSWER,
                    i);
        }
        assertThat(mServers.isLeaving(new ServerIncarnation(new BackendServerId("s0"), 1)))
                .isFalse();
        assertThat(mServers.isLeaving(new ServerIncarnation(new BackendServerId("s9999"), 1)))
                .isTrue();
    }
}
