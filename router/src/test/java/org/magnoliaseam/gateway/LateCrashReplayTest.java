package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.error.ErrorKind;

/**
 * Replays streams of which some crash their engine while they are answered, and streams that are in
 * progress when engines are killed. The bounds are those of the site's owners.
 */
class LateCrashReplayTest {

    private static final long MILLI = GatewayFixtures.MILLI;

    private static final int GATEWAYS = 5;

    private static final int ENGINES = 6;

    /** The time within which all entry VMs in contact have to act. */
    private static final long CONTACT_NANOS = 3_000 * MILLI;

    private static final int CRASHES_TO_ACT = 3;

    private static final int ALLOWED_AFTERWARDS = 3;

    private static final Route STREAM = GatewayFixtures.route(RequestKind.STREAM, 2, true, 1500);

    private final List<SimulatedOutcome> mSound = new ArrayList<>();

    private static GatewayRequest request(String id, long nanos, String body, String... shared) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : shared) {
            parts.add(new PromptPart(part, 500));
        }
        parts.add(new PromptPart("own-" + body, 500));
        Prompt prompt = new Prompt(parts, 500 * parts.size(), 100);
        return GatewayFixtures.request(id, STREAM, prompt, body, nanos, nanos + 8000 * MILLI);
    }

    /** Adds streams of 2 s, each of which is sent once more if it has no complete answer. */
    private void addSound(SimulatedFleet fleet, Random random, int untilMillis) {
        for (int i = 0; i < untilMillis / 100; i++) {
            long nanos = random.nextInt(untilMillis) * MILLI;
            String body = "sound-" + i;
            String session = "session-" + random.nextInt(40);
            mSound.add(fleet.request(nanos, request(body, nanos, body, "base", session)));
            long again = nanos + 6_000 * MILLI;
            mSound.add(fleet.request(again, request(body + "-2", again, body, "base", session)));
        }
    }

    private static long sendsAfterThirdCrash(
            SimulatedFleet fleet, List<SimulatedOutcome> outcomes) {
        assertThat(fleet.crashes()).hasSizeGreaterThanOrEqualTo(CRASHES_TO_ACT);
        long bound = fleet.crashes().get(CRASHES_TO_ACT - 1) + CONTACT_NANOS;
        return outcomes.stream()
                .flatMap(outcome -> outcome.sends().stream())
                .filter(nanos -> nanos > bound)
                .count();
    }

    /** Review case 12: a request that comes again and again crashed an engine each time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void requestThatCrashesEnginesLateReachesFewAfterTheThirdCrash(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(GATEWAYS, ENGINES, seed);
        Random random = new Random(seed);
        addSound(fleet, random, 30_000);
        fleet.crashAfter("late", 5 + random.nextInt(60));
        List<SimulatedOutcome> late = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            long nanos = (4_000 + 2_500 * i) * MILLI;
            late.add(fleet.request(nanos, request("late-" + i, nanos, "late", "base", "late")));
        }
        fleet.run(45_000 * MILLI);
        assertThat(sendsAfterThirdCrash(fleet, late)).isLessThanOrEqualTo(ALLOWED_AFTERWARDS);
        assertThat(mSound).noneMatch(LateCrashReplayTest::isRefusedAsCrashing);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void partThatCrashesEnginesLateReachesFewAfterTheThirdCrash(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(GATEWAYS, ENGINES, seed);
        Random random = new Random(seed);
        addSound(fleet, random, 30_000);
        fleet.crashAfter("late", 30);
        List<SimulatedOutcome> late = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            long nanos = (4_000 + 1_500 * i) * MILLI;
            String body = "late-" + i;
            late.add(fleet.request(nanos, request(body, nanos, body, "base", "late")));
        }
        fleet.run(45_000 * MILLI);
        assertThat(sendsAfterThirdCrash(fleet, late)).isLessThanOrEqualTo(ALLOWED_AFTERWARDS);
        assertThat(mSound).noneMatch(LateCrashReplayTest::isRefusedAsCrashing);
    }

    /** Streams without a complete answer yet are found at each of the crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void streamsInProgressAtASeriesOfKillsAreNotRefused(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(GATEWAYS, ENGINES, seed);
        Random random = new Random(seed);
        addSound(fleet, random, 20_000);
        for (int series = 0; series < 3; series++) {
            List<Integer> engines = new ArrayList<>(IntStream.range(0, ENGINES).boxed().toList());
            for (int kill = 0; kill < 3; kill++) {
                int engine = engines.remove(random.nextInt(engines.size()));
                long from = (3_000 + 6_000 * series + 600 * kill) * MILLI;
                fleet.crash(engine, from, from + 2_500 * MILLI);
            }
        }
        fleet.run(45_000 * MILLI);
        assertThat(mSound).noneMatch(LateCrashReplayTest::isRefusedAsCrashing);
    }

    private static boolean isRefusedAsCrashing(SimulatedOutcome outcome) {
        return outcome.refusal() != null
                && (outcome.refusal().kind() == ErrorKind.CRASHING_REQUEST
                        || outcome.refusal().kind() == ErrorKind.CRASHED_BACKEND);
    }
}
