package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;

/** Tests that each request ends with an answer or a refusal. */
class RequestFlowTest {

    private final FlowFixture mSite = new FlowFixture();

    /** Tests attempts that fail while no retry is left in the budget. */
    @Nested
    class WithoutRetryBudget {

        private final FlowFixture.Caller mCaller = mSite.submit("a", FlowFixture.LOOKUP, "/a", "");

        private void fail(BackendFailure failure) {
            mSite.mRetryBudgetLeft = false;
            mSite.mTries.get(0).failed(failure, "test");
        }

        @ParameterizedTest
        @EnumSource(names = {"NOT_SENT", "REFUSED"})
        void requestThatNoServerHasRunIsSentToAnotherOne(BackendFailure failure) {
            fail(failure);
            assertThat(mSite.mTries).hasSize(2);
            assertThat(mCaller.mRefusal).isNull();
        }

        @Test
        void requestThatMayHaveRunIsNotRepeated() {
            fail(BackendFailure.CONNECTION_LOST);
            assertThat(mSite.mTries).hasSize(1);
            assertThat(mCaller.mRefusal.kind()).isEqualTo(ErrorKind.BACKEND_FAILED);
        }
    }

    /** Tests decisions that fail. */
    @Nested
    class FailedDecision {

        @Test
        void requestWithAPathThatIsNoUriIsRefused() {
            FlowFixture.Caller caller = mSite.submit("a", FlowFixture.LOOKUP, "/a?b={c}", "");
            assertThat(caller.mRefusal).isEqualTo(Refusal.of(ErrorKind.INTERNAL));
            assertThat(mSite.mFlow.active()).isZero();
        }

        @Test
        void requestsBehindOneWithAPathThatIsNoUriAreStarted() {
            mSite.submit("a", FlowFixture.LOOKUP, "/a?b={c}", "");
            for (int i = 0; i < 3; i++) {
                mSite.submit("r" + i, FlowFixture.LOOKUP, "/a", "");
            }
            assertThat(mSite.mTries).hasSize(3);
        }
    }
}
