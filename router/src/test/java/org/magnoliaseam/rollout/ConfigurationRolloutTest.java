package org.magnoliaseam.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.OutOfService;
import org.magnoliaseam.settings.RouterTuning;

/** Tests how a configuration comes into force and is requested from peers. */
class ConfigurationRolloutTest {

    private static final Configuration CONFIGURATION =
            new Configuration(
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    new OutOfService(Set.of(), Set.of(), Set.of()),
                    new RouterTuning(1, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO),
                    "digest");
    private static final VmId FIRST = new VmId("entry-1");
    private static final VmId SECOND = new VmId("entry-2");

    private final List<Long> mLoaded = new ArrayList<>();
    private final ConfigurationRollout mRollout = new ConfigurationRollout(this::load);
    private final PeerCatchUp mCatchUp = new PeerCatchUp(mRollout, new Random(1), 0);

    private Result<Configuration, List<Fault>> load(ConfigurationText text) {
        mLoaded.add(text.version());
        return text.base().startsWith("bad")
                ? Result.err(List.of(new Fault("base.toml", 1, "classes", "is missing")))
                : Result.ok(CONFIGURATION);
    }

    private static ConfigurationText text(long version, String base) {
        return new ConfigurationText(version, base, "");
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Tests offers of configurations. */
    @Nested
    class Offered {
        @Test
        void lowerVersionNeverReplacesHigher() {
            mRollout.offer(text(8, "a"));
            assertThat(mRollout.offer(text(7, "a"))).isEqualTo(new OfferResult.Older(8));
            assertThat(mRollout.version()).isEqualTo(8);
        }

        @Test
        void invalidVersionKeepsTheLastValidOneAndIsNotLoadedAgain() {
            mRollout.offer(text(8, "a"));
            assertThat(mRollout.offer(text(9, "bad"))).isInstanceOf(OfferResult.Invalid.class);
            assertThat(mRollout.offer(text(9, "bad"))).isEqualTo(new OfferResult.KnownInvalid());
            assertThat(mLoaded).containsExactly(8L, 9L);
            assertThat(mRollout.version()).isEqualTo(8);
            assertThat(mRollout.highestSeenVersion()).isEqualTo(9);
            assertThat(mRollout.offer(text(10, "b"))).isInstanceOf(OfferResult.Accepted.class);
        }

        @Test
        void differentTextWithTheSameVersionIsConflict() {
            mRollout.offer(text(8, "a"));
            assertThat(mRollout.offer(text(8, "a"))).isEqualTo(new OfferResult.Unchanged());
            assertThat(mRollout.offer(text(8, "b"))).isInstanceOf(OfferResult.Conflict.class);
            assertThat(mRollout.inForce().orElseThrow().text().base()).isEqualTo("a");
        }
    }

    /** Tests a process that has just started. */
    @Nested
    class Started {
        @Test
        void isNotReadyWithoutConfiguration() {
            assertThat(mCatchUp.readiness(List.of(), millis(60_000)).ready()).isFalse();
        }

        @Test
        void waitsForPeersBeforeServingTheConfigurationOfThePlatform() {
            mRollout.offer(text(7, "old"));
            assertThat(mCatchUp.readiness(List.of(FIRST, SECOND), 0).ready()).isFalse();
            mCatchUp.heard(FIRST, 7, 0);
            assertThat(mCatchUp.readiness(List.of(FIRST, SECOND), 0).ready()).isFalse();
            mCatchUp.heard(SECOND, 8, millis(10));
            assertThat(mCatchUp.readiness(List.of(FIRST, SECOND), millis(10)).ready()).isFalse();
            mRollout.offer(text(8, "new"));
            assertThat(mCatchUp.readiness(List.of(FIRST, SECOND), millis(10)).ready()).isTrue();
        }

        @Test
        void servesAfterTheWaitWithoutAnyHeartbeat() {
            mRollout.offer(text(7, "a"));
            long waitEndNanos = millis(PeerCatchUp.START_WAIT_MILLIS);
            assertThat(mCatchUp.readiness(List.of(FIRST), waitEndNanos - 1).ready()).isFalse();
            assertThat(mCatchUp.readiness(List.of(FIRST), waitEndNanos).ready()).isTrue();
        }

        @Test
        void versionKnownToBeInvalidDoesNotPreventServing() {
            mRollout.offer(text(7, "a"));
            mRollout.offer(text(8, "bad"));
            mCatchUp.heard(FIRST, 8, 0);
            assertThat(mCatchUp.readiness(List.of(FIRST), 0).ready()).isTrue();
            assertThat(mCatchUp.next(millis(500))).isEmpty();
        }
    }

    /** Tests requests to peers. */
    @Nested
    class CatchingUp {
        @Test
        void sendsOneRequestAtATimeAndTheNextAfterTheTimeout() {
            mCatchUp.heard(FIRST, 8, 0);
            mCatchUp.heard(SECOND, 9, 0);
            List<Long> requestMillis = new ArrayList<>();
            for (long now = 0; now < 3000; now += 10) {
                long at = now;
                mCatchUp.next(millis(now))
                        .ifPresent(
                                request -> {
                                    assertThat(request).isEqualTo(new PeerRequest(SECOND, 0));
                                    requestMillis.add(at);
                                });
            }
            assertThat(requestMillis).hasSizeBetween(2, 3);
            assertThat(requestMillis.get(0)).isLessThanOrEqualTo(PeerCatchUp.JITTER_MILLIS);
        }
    }

    /**
     * Checks that the version never decreases with random offers in random order.
     *
     * @param seed the seed of the offers
     */
    @Property(seed = "20261204", tries = 200)
    void versionNeverDecreases(@ForAll long seed) {
        Random random = new Random(seed);
        long before = 0;
        for (int i = 0; i < 100; i++) {
            String base = (random.nextBoolean() ? "bad" : "good") + random.nextInt(3);
            mRollout.offer(text(1 + random.nextInt(20), base));
            assertThat(mRollout.version()).isGreaterThanOrEqualTo(before);
            before = mRollout.version();
        }
    }
}
