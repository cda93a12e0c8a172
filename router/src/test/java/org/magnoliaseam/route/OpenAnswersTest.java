package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.exchange.AnswerSink;

/** Tests that a planned stop waits for the answers that callers still get. */
class OpenAnswersTest {

    private final FlowFixture mSite = new FlowFixture();

    @Test
    void requestAtTheIssuerOfItsTicketIsOpenUntilItsAnswerEnds() {
        FlowFixture.Caller caller =
                mSite.submit("a", RecordFixtures.RELEASE, "/a", FlowFixture.foreignTicket());
        AnswerSink answer = mSite.mForwarded.get(0);
        FlowFixture.head(answer);
        assertThat(mSite.mFlow.active()).isEqualTo(1);
        answer.end();
        assertThat(caller.mEnded).isTrue();
        assertThat(mSite.mFlow.active()).isZero();
    }

    @Test
    void answerThatASlowCallerReadsIsOpenUntilItIsWritten() {
        FlowFixture.Caller caller = mSite.submit("a", FlowFixture.LOOKUP, "/a", "");
        caller.mWritten = new CompletableFuture<>();
        FlowFixture.head(mSite.mTries.get(0));
        mSite.mTries.get(0).ended();
        assertThat(mSite.mFlow.active()).isEqualTo(1);
        caller.mWritten.complete(null);
        assertThat(caller.mEnded).isTrue();
        assertThat(mSite.mFlow.active()).isZero();
    }
}
