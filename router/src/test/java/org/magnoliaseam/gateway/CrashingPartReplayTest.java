package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;
import org.magnoliaseam.catalog.WeightedService;
import org.magnoliaseam.error.Executed;

/**
 * Replays requests of which some have a prompt part that crashes each engine that begins to answer
 * them. The bounds are those of the site's owners.
 */
class CrashingPartReplayTest {

    private static final long MILLI = GatewayFixtures.MILLI;

    private static final int GATEWAYS = 5;

    private static final int ENGINES = 6;

    /** The time within which all entry VMs in contact have to act. */
    private static final long CONTACT_NANOS = 3_000 * MILLI;

    private static final int CRASHES_TO_ACT = 5;

    private static final int ALLOWED_AFTERWARDS = 3;

    private static final int FROM_MILLIS = 4_000;

    private static final int UNTIL_MILLIS = 26_000;

    private static final Route REVIEW =
            new Route(
                    "review",
                    "host.example",
                    "/p/",
                    RequestKind.STREAM,
                    List.of(new WeightedService(GatewayFixtures.ENGINES, 1)),
                    2,
                    5000,
                    5000,
                    1500,
                    600,
                    2,
                    false,
                    true);

    private final List<SimulatedOutcome> mSound = new ArrayList<>();

    private final List<SimulatedOutcome> mCrashing = new ArrayList<>();

    private static Prompt prompt(int number, String... shared) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : shared) {
            parts.add(new PromptPart(part, 2000));
        }
        parts.add(new PromptPart("own-" + number, 2000));
        return new Prompt(parts, 2000 * parts.size(), 13);
    }

    /** Adds the load: each account has a part of its own, one account sends the crashing one. */
    private SimulatedFleet play(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(GATEWAYS, ENGINES, seed);
        Random random = new Random(seed);
        fleet.crashAfter("crashing", 0);
        for (int i = 0; i < 30 * 12; i++) {
            long nanos = random.nextInt(30_000) * MILLI;
            Prompt prompt = prompt(i, "base", "account-" + random.nextInt(10));
            mSound.add(fleet.request(nanos, request("s" + i, nanos, prompt)));
        }
        for (int i = 0; i < 14; i++) {
            long nanos = (FROM_MILLIS + random.nextInt(UNTIL_MILLIS - FROM_MILLIS)) * MILLI;
            Prompt prompt = prompt(-i, "base", "account-3", "crashing");
            mCrashing.add(fleet.request(nanos, request("c" + i, nanos, prompt)));
        }
        fleet.run(45_000 * MILLI);
        return fleet;
    }

    private static GatewayRequest request(String id, long nanos, Prompt prompt) {
        return GatewayFixtures.request(id, REVIEW, prompt, id, nanos, nanos + 5000 * MILLI);
    }

    private static double servedAtFirst(Collection<SimulatedOutcome> outcomes) {
        return outcomes.stream().filter(SimulatedOutcome::complete).count()
                / (double) outcomes.size();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void partThatCrashesEnginesReachesFewAfterTheFifthCrash(long seed) {
        SimulatedFleet fleet = play(seed);
        List<Long> crashes = fleet.crashes();
        if (crashes.size() < CRASHES_TO_ACT) {
            return;
        }
        long bound = crashes.get(CRASHES_TO_ACT - 1) + CONTACT_NANOS;
        long after =
                mCrashing.stream()
                        .flatMap(outcome -> outcome.sends().stream())
                        .filter(nanos -> nanos > bound)
                        .count();
        assertThat(after).isLessThanOrEqualTo(ALLOWED_AFTERWARDS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void soundRequestsOfTheSameAccountAreServedWhileSuchRequestsCome(long seed) {
        SimulatedFleet fleet = play(seed);
        List<Long> crashes = fleet.crashes();
        int last = Math.min(CRASHES_TO_ACT, crashes.size()) - 1;
        long from = crashes.get(last) + 2 * CONTACT_NANOS;
        List<SimulatedOutcome> beside =
                mSound.stream()
                        .filter(outcome -> outcome.request().arrivedNanos() > from)
                        .filter(outcome -> outcome.request().arrivedNanos() < UNTIL_MILLIS * MILLI)
                        .toList();
        List<SimulatedOutcome> sameAccount =
                beside.stream()
                        .filter(
                                outcome ->
                                        outcome.request()
                                                .prompt()
                                                .parts()
                                                .get(1)
                                                .id()
                                                .equals("account-3"))
                        .toList();
        assertThat(servedAtFirst(beside)).isGreaterThan(0.5);
        assertThat(servedAtFirst(sameAccount)).isGreaterThan(0.5);
    }

    @Test
    void refusalsOfSuchRequestsAreTrue() {
        play(6);
        for (SimulatedOutcome outcome : mCrashing) {
            assertThat(outcome.complete()).isFalse();
            if (outcome.refusal() != null && outcome.refusal().kind().executed() == Executed.NO) {
                assertThat(outcome.sends()).isEmpty();
            }
        }
    }
}
