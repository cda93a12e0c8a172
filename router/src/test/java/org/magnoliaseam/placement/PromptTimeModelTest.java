package org.magnoliaseam.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the fit of the time that a prompt takes. */
class PromptTimeModelTest {

    private final PromptTimeModel mModel = new PromptTimeModel();

    private void measure(double base, double tokensPerMilli, double noise) {
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            long tokens = 200 + random.nextInt(9000);
            double millis = base + tokens / tokensPerMilli + noise * random.nextGaussian();
            mModel.measured(tokens, millis);
        }
    }

    @Test
    void findsBaseAndSpeed() {
        measure(130, 62, 0);
        assertThat(mModel.baseMillis()).isCloseTo(130, within(5.0));
        assertThat(mModel.tokensPerMilli()).isCloseTo(62, within(3.0));
    }

    @Test
    void toleratesNoise() {
        measure(130, 62, 30);
        assertThat(mModel.baseMillis()).isCloseTo(130, within(20.0));
        assertThat(mModel.tokensPerMilli()).isCloseTo(62, within(12.0));
    }

    @Test
    void followsAChange() {
        measure(30, 80, 0);
        measure(90, 20, 0);
        assertThat(mModel.tokensPerMilli()).isCloseTo(20, within(2.0));
    }

    @Test
    void equalPromptsLeaveTheSpeedBounded() {
        for (int i = 0; i < 1000; i++) {
            mModel.measured(1000, 150);
        }
        assertThat(mModel.tokensPerMilli()).isBetween(5.0, 500.0);
        assertThat(mModel.baseMillis() + 1000 / mModel.tokensPerMilli())
                .isCloseTo(150, within(1.0));
    }
}
