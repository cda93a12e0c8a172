package org.magnoliaseam.testbed.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.http.Json;

/** Tests that answers depend only on messages and token limit. */
class EngineAnswersTest {

    private static final EngineAnswers ANSWERS = new EngineAnswers(60);

    @Test
    void keyOrderDoesNotChangeTheAnswer() {
        EngineAnswer one = ANSWERS.answer(Json.tree("{\"messages\":[{\"a\":\"1\",\"b\":\"2\"}]}"));
        EngineAnswer other =
                ANSWERS.answer(Json.tree("{\"messages\":[{\"b\":\"2\",\"a\":\"1\"}]}"));
        assertThat(one).isEqualTo(other);
        assertThat(one.text()).isEqualTo(other.text());
    }

    @Test
    void markerAndLimitSetTheNumberOfTokens() {
        var messages = Json.tree("[{\"role\":\"user\",\"content\":\"[[tokens=50]]\"}]");
        assertThat(ANSWERS.answer(messages, OptionalInt.empty()).tokens()).isEqualTo(50);
        assertThat(ANSWERS.answer(messages, OptionalInt.of(7)).tokens()).isEqualTo(7);
        assertThat(ANSWERS.answer(messages, OptionalInt.of(7)).text().split(" ")).hasSize(7);
    }

    @Test
    void lengthsAreHeavyTailedAroundTheMean() {
        long sum = 0;
        int longest = 0;
        for (int i = 0; i < 2000; i++) {
            int tokens = ANSWERS.answer(Json.tree("[" + i + "]"), OptionalInt.empty()).tokens();
            sum += tokens;
            longest = Math.max(longest, tokens);
        }
        assertThat(sum / 2000.0).isBetween(50.0, 70.0);
        assertThat(longest).isGreaterThan(300);
    }
}
