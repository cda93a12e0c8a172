package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that answers without end take a bounded part of the memory. */
class AnswerMemoryTest {

    private static final int MAX_BYTES = 1024 * 1024;

    private static final int STEP_BYTES = 16 * 1024;

    private final AnswerMemory mMemory = new AnswerMemory(MAX_BYTES);

    private int grow(BodyBuffer body) {
        int size = 0;
        while (body.add(ByteBuffer.allocate(STEP_BYTES))) {
            size += STEP_BYTES;
        }
        return size;
    }

    /** Guards against memory that runs out when many answers without end arrive at once. */
    @Test
    void manyAnswersWithoutEndStayBelowTheLimitTogether() {
        long sum = 0;
        for (int i = 0; i < 200; i++) {
            sum += grow(new BodyBuffer(mMemory.share()));
        }
        assertThat(sum).isLessThanOrEqualTo(MAX_BYTES + 200L * AnswerMemory.FREE_BYTES);
    }

    @Test
    void smallAnswersFitBesideAnswersWithoutEnd() {
        for (int i = 0; i < 200; i++) {
            grow(new BodyBuffer(mMemory.share()));
        }
        assertThat(new BodyBuffer(mMemory.share()).add(ByteBuffer.allocate(18_000))).isTrue();
    }

    @Test
    void largerAnswerFitsBesideSomeWithoutEnd() {
        for (int i = 0; i < 3; i++) {
            grow(new BodyBuffer(mMemory.share()));
        }
        assertThat(grow(new BodyBuffer(mMemory.share()))).isGreaterThan(64 * 1024);
    }

    @Test
    void memoryOfEndedAnswersIsFreeAgain() {
        List<AnswerMemory.Share> shares = new ArrayList<>();
        int first = 0;
        for (int i = 0; i < 10; i++) {
            shares.add(mMemory.share());
            int size = grow(new BodyBuffer(shares.get(i)));
            first = i == 0 ? size : first;
        }
        shares.forEach(AnswerMemory.Share::release);
        assertThat(grow(new BodyBuffer(mMemory.share()))).isEqualTo(first);
        assertThat(shares.get(0).resize(MAX_BYTES)).isFalse();
    }

    @Test
    void eventWithoutEndIsCutOffAtTheLimit() {
        EventSplitter splitter = new EventSplitter(new AnswerMemory(0).share());
        byte[] line = "data: more\n".repeat(100).getBytes(StandardCharsets.UTF_8);
        int sent = 0;
        while (!splitter.overflowed()) {
            splitter.feed(ByteBuffer.wrap(line));
            sent += line.length;
        }
        assertThat(sent).isLessThanOrEqualTo(AnswerMemory.FREE_BYTES + line.length);
    }
}
