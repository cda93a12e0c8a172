package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.exchange.AnswerSink;

/** Tests answers of peers that this entry VM stops, after which the peer sends nothing more. */
class ForwardedAnswersTest {

    private final FlowFixture mSite = new FlowFixture();

    @Test
    void handedOverRequestWithAForeignAnswerIsTriedAgain() {
        mSite.servers(0);
        FlowFixture.Caller caller = mSite.submit("a", FlowFixture.CHAT, "/a", "");
        mSite.pass(1000);
        AnswerSink answer = mSite.mForwarded.get(0);
        FlowFixture.head(answer);
        assertThat(answer.write(FlowFixture.event("b", 0))).isCompletedExceptionally();
        mSite.servers(1);
        assertThat(mSite.mTries).hasSize(1);
        assertThat(caller.mRefusal).isNull();
    }

    @Test
    void requestAtTheIssuerOfItsTicketEndsWithItsCaller() {
        FlowFixture.Caller caller =
                mSite.submit("a", RecordFixtures.RELEASE, "/a", FlowFixture.foreignTicket());
        caller.mWritten = CompletableFuture.failedFuture(new IllegalStateException("gone"));
        AnswerSink answer = mSite.mForwarded.get(0);
        FlowFixture.head(answer);
        answer.write(ByteBuffer.wrap(new byte[1]));
        assertThat(mSite.mFlow.active()).isZero();
    }
}
