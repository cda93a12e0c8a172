package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that events pass byte for byte, however the stream is split into buffers. */
class EventSplitterTest {

    private static final String STREAM =
            "id: 1\ndata: {\"text\":\"cut\"}\n\n:comment\n\n"
                    + "id:2\r\ndata: b\r\n\r\nid: 30\ndata: é\n\n";

    @Property(seed = "20261204", tries = 300)
    void splittingPreservesAllBytes(
            @ForAll @IntRange(max = 200) int first, @ForAll @IntRange(max = 200) int second) {
        byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
        int from = Math.min(all.length, Math.min(first, second));
        int to = Math.min(all.length, Math.max(first, second));
        EventSplitter splitter = new EventSplitter(new AnswerMemory(0).share());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        List<String> ids = new ArrayList<>();
        for (byte[] part :
                List.of(
                        Arrays.copyOfRange(all, 0, from),
                        Arrays.copyOfRange(all, from, to),
                        Arrays.copyOfRange(all, to, all.length))) {
            for (EventSplitter.Event event : splitter.feed(ByteBuffer.wrap(part))) {
                out.writeBytes(event.bytes());
                ids.add(event.id());
            }
        }
        assertThat(out.toByteArray()).isEqualTo(all);
        assertThat(ids).containsExactly("1", "", "2", "30");
        assertThat(splitter.partial()).isFalse();
    }

    @Property(seed = "20261204", tries = 100)
    void truncatedEventIsPartial(@ForAll @IntRange(min = 1, max = 4) int missing) {
        byte[] all = "id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8);
        EventSplitter splitter = new EventSplitter(new AnswerMemory(0).share());
        splitter.feed(ByteBuffer.wrap(all, 0, all.length - missing));
        assertThat(splitter.partial()).isTrue();
    }
}
