package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Executed;
import org.magnoliaseam.exchange.AnswerHead;

/** Tests refusals of requests that do not crash backend servers, and trials. */
class CrashTrialTest extends CrashGuardFixture {

    private void pass(long millis) {
        mNow.addAndGet(millis * MILLI);
        mGateway.tick();
    }

    /** Review case 13: such a refusal lasted for as long as its requests came. */
    @Test
    void partIsServedOnceARequestWithItHasBeenTried() {
        findCause();
        for (int i = 0; i < 9; i++) {
            pass(1000);
            assertThat(submit("r" + i, "crashing").mRefusal).isNotNull();
        }
        pass(1100);
        RecordingSink tried = submit("t1", "crashing");
        assertThat(tried.mRefusal).isNull();
        assertThat(submit("t2", "crashing").mRefusal.kind()).isEqualTo(ErrorKind.CRASHING_REQUEST);
        mGateway.tick();
        answer();
        assertThat(tried.mComplete).isTrue();
        submit("t3", "crashing");
        answer();
        assertThat(mPool.crashes().log().trials()).isEqualTo(1);
    }

    @Test
    void trialThatCrashesAServerIsNotSentAgain() {
        findCause();
        pass(10_100);
        int before = mBackend.mOrders.size();
        RecordingSink tried = submit("t1", "crashing");
        crash();
        assertThat(mBackend.mOrders).hasSize(before + 1);
        assertThat(tried.mRefusal.kind().executed()).isNotEqualTo(Executed.NO);
        pass(10_100);
        assertThat(submit("t2", "crashing").mRefusal).isNotNull();
    }

    @Test
    void requestIsNotTriedInTheTurnOfAnotherEntryVm() {
        findCause();
        pass(10_100);
        mPool.members(GatewayFixtures.members(1, 2));
        assertThat(submit("t1", "crashing").mRefusal).isNotNull();
    }

    @Test
    void lossesAtServersThatAcceptConnectionsAreNoCrashes() {
        findCause();
        for (int sent = 0; sent < 12; sent++) {
            mNow.addAndGet(20 * MILLI);
            submit("s" + sent, "sound" + sent);
            mBackend.last().connected(mNow.get());
        }
        assertThat(mPool.crashes().refuses(request("c9", "crashing"))).isFalse();
    }

    @Test
    void answersOnConnectionsFromBeforeTheLossShowThatTheServerLives() {
        long before = mNow.get() - MILLI;
        findCause();
        mNow.addAndGet(2000 * MILLI);
        for (int sent = 0; sent < 12; sent++) {
            mNow.addAndGet(20 * MILLI);
            submit("s" + sent, "sound" + sent);
            mBackend.last().connected(before);
            mBackend.last().head(new AnswerHead(200, List.of()));
        }
        assertThat(mPool.crashes().refuses(request("c9", "crashing"))).isFalse();
    }
}
