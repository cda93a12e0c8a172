package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.Route;

/** Replays requests with new prompt parts while engines that go on reset a part of them. */
class ResettingServersReplayTest {

    private static final long MILLI = GatewayFixtures.MILLI;

    private static final int PARTS = 30;

    private static final int FROM_MILLIS = 2_000;

    private static final int UNTIL_MILLIS = 8_500;

    /** The time after which the site's owners expect nothing of the disruption to be left. */
    private static final int CALM_MILLIS = 3_000;

    private static final int END_MILLIS = 25_000;

    private static final Route QUERY = GatewayFixtures.route(RequestKind.STREAM, 1, false, 300);

    private final List<SimulatedOutcome> mOutcomes = new ArrayList<>();

    private void ask(SimulatedFleet fleet, int atMillis, int part) {
        long nanos = atMillis * MILLI;
        List<PromptPart> parts =
                List.of(
                        new PromptPart("part-" + part, 341),
                        new PromptPart("own-" + mOutcomes.size(), 200));
        String id = "q" + mOutcomes.size();
        Prompt prompt = new Prompt(parts, 541, 6);
        GatewayRequest request =
                GatewayFixtures.request(id, QUERY, prompt, id, nanos, nanos + 3_000 * MILLI);
        mOutcomes.add(fleet.request(nanos, request));
    }

    /** Review case 13: all requests with some of the parts were refused until the end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void requestsWithNewPartsAreServedOnceServersNoLongerResetThem(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(3, 6, seed);
        fleet.reset(0.45, FROM_MILLIS * MILLI, UNTIL_MILLIS * MILLI);
        for (int i = 0; i < 3 * PARTS; i++) {
            ask(fleet, FROM_MILLIS + i * (UNTIL_MILLIS - FROM_MILLIS) / (3 * PARTS), i / 3);
        }
        for (int at = UNTIL_MILLIS, i = 0; at < END_MILLIS; at += 40, i++) {
            ask(fleet, at, i % PARTS);
        }
        fleet.run((END_MILLIS + 5_000) * MILLI);
        long calm = (UNTIL_MILLIS + CALM_MILLIS) * MILLI;
        List<SimulatedOutcome> later =
                mOutcomes.stream()
                        .filter(outcome -> outcome.request().arrivedNanos() > calm)
                        .toList();
        assertThat(later).allMatch(SimulatedOutcome::complete);
    }
}
