package org.magnoliaseam.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.FleetFixtures.summary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.LatencyTargets;
import org.magnoliaseam.settings.RequestClass;

/** Tests the retry budget and the rule for hedged requests. */
class RetryBudgetTest {

    private static final double FRACTION = 0.1;

    /** Tests an overload to twice the capacity in which every failed try requests a retry. */
    @Nested
    class Overload {
        @Test
        void retriesAddAtMostTenPercentToFirstTries() {
            int vms = 4;
            int capacityPerStep = 5;
            Random random = new Random(20261204);
            List<RetryBudget> budgets = new ArrayList<>();
            for (int i = 0; i < vms; i++) {
                budgets.add(new RetryBudget());
            }
            long firstTries = 0;
            long offered = 0;
            List<RetryBudget> failed = new ArrayList<>();
            for (int step = 0; step < 6000; step++) {
                long now = TimeUnit.MILLISECONDS.toNanos(step * 100L);
                List<RetryBudget> tries = new ArrayList<>();
                for (RetryBudget budget : failed) {
                    if (budget.take(FRACTION, now).allowed()) {
                        tries.add(budget);
                    }
                }
                for (int i = 0; i < 2 * capacityPerStep; i++) {
                    RetryBudget budget = budgets.get(random.nextInt(vms));
                    budget.firstTry(FRACTION, now);
                    firstTries++;
                    tries.add(budget);
                }
                offered += tries.size();
                failed = tries.subList(capacityPerStep, tries.size());
                for (int i = 0; i < vms && step % 5 == 0; i++) {
                    RetryBudget from = budgets.get(i);
                    PeerSummary summary = summary(i, 1, from.firstTries(), from.retries());
                    budgets.stream().filter(b -> b != from).forEach(b -> b.heard(summary, now));
                }
                assertThat(10 * offered).isLessThanOrEqualTo(11 * firstTries);
            }
            assertThat(offered).isGreaterThan(firstTries);
        }
    }

    /** Tests the limits of the budget. */
    @Nested
    class Limits {
        private final RetryBudget mBudget = new RetryBudget();

        private int takeAll(long nowNanos) {
            int taken = 0;
            while (mBudget.take(FRACTION, nowNanos).allowed()) {
                taken++;
            }
            return taken;
        }

        @Test
        void allowsNothingBeforeFirstTriesAndLimitsSavedRetries() {
            assertThat(takeAll(0)).isZero();
            for (int i = 0; i < 10_000; i++) {
                mBudget.firstTry(FRACTION, 0);
            }
            assertThat(takeAll(0)).isEqualTo((int) RetryBudget.MAX_SAVED_RETRIES);
        }

        @Test
        void countsRetriesOfPeersWithinWindow() {
            for (int i = 0; i < 50; i++) {
                mBudget.firstTry(FRACTION, 0);
            }
            mBudget.heard(summary(2, 1, 0, 0), 0);
            mBudget.heard(summary(2, 1, 0, 15), 0);
            assertThat(takeAll(0)).isZero();
            assertThat(takeAll(TimeUnit.SECONDS.toNanos(SlidingWindowCounter.WINDOW_SECONDS)))
                    .isPositive();
        }

        @Test
        void ignoresCountersOfEarlierIncarnation() {
            for (int i = 0; i < 50; i++) {
                mBudget.firstTry(FRACTION, 0);
            }
            mBudget.heard(summary(2, 1, 0, 0), 0);
            mBudget.heard(summary(2, 2, 0, 1000), 0);
            assertThat(takeAll(0)).isPositive();
        }
    }

    /** Tests which requests are hedged. */
    @Nested
    class Hedging {
        private final RetryBudget mBudget = new RetryBudget();
        private final HedgePolicy mPolicy = new HedgePolicy(mBudget);
        private final RecentQuantile mFirstTokens = new RecentQuantile();

        private boolean hedged(Tier tier, boolean idempotent, double waitedMillis) {
            RequestClass requestClass =
                    new RequestClass(
                            new RequestClassId("learner"),
                            tier,
                            new LatencyTargets(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                            0.9,
                            0,
                            Duration.ZERO,
                            Set.of(),
                            Set.of(),
                            Optional.empty(),
                            Set.of(),
                            idempotent);
            return mPolicy.decide(requestClass, mFirstTokens, waitedMillis, FRACTION, 0).allowed();
        }

        @Test
        void hedgesOnlyLateIdempotentRequestsOfHighestTierWithinBudget() {
            assertThat(hedged(Tier.HIGHEST, true, 1_000_000)).isFalse();
            for (int i = 1; i <= 100; i++) {
                mFirstTokens.add(i);
                mBudget.firstTry(FRACTION / 5, 0);
            }
            assertThat(hedged(Tier.HIGHEST, true, 95)).isFalse();
            assertThat(hedged(Tier.LOWEST, true, 96)).isFalse();
            assertThat(hedged(Tier.HIGHEST, false, 96)).isFalse();
            assertThat(hedged(Tier.HIGHEST, true, 96)).isTrue();
        }
    }
}
