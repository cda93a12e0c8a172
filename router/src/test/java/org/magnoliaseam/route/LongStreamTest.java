package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests streams that take longer than the time limit of an attempt, 80 s in this class. */
class LongStreamTest {

    private static final int SECONDS = 120;

    private final FlowFixture mSite = new FlowFixture();
    private final FlowFixture.Caller mCaller = mSite.submit("a", FlowFixture.CHAT, "/a", "");

    LongStreamTest() {
        FlowFixture.head(mSite.mTries.get(0));
    }

    @Test
    void streamThatGoesOnIsNotGivenUp() {
        for (int second = 0; second < SECONDS; second++) {
            mSite.pass(1000);
            FlowFixture.token(mSite.mTries.get(0), "a", second);
        }
        assertThat(mSite.mTries).hasSize(1);
        assertThat(mCaller.mRefusal).isNull();
    }

    @Test
    void streamThatIsSilentForTheLimitIsTriedAtAnotherServer() {
        FlowFixture.token(mSite.mTries.get(0), "a", 0);
        mSite.pass(79_000);
        assertThat(mSite.mTries).hasSize(1);
        mSite.pass(2000);
        assertThat(mSite.mTries).hasSize(2);
    }

    @Test
    void slowCallerIsNotTheSilenceOfTheServer() {
        mCaller.mWritten = new CompletableFuture<>();
        FlowFixture.token(mSite.mTries.get(0), "a", 0);
        mSite.pass(81_000);
        mCaller.mWritten.complete(null);
        mSite.pass(1000);
        assertThat(mSite.mTries).hasSize(1);
    }
}
