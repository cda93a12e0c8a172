package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.magnoliaseam.testbed.harness.CallSchedule;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Holds chat calls that run at once, with their answers. */
final class CallBatch {

    private static final String END_MARKER = "data: [DONE]";
    private static final int MAX_EXCERPT_LENGTH = 300;
    private static final long CALL_TIMEOUT_MILLIS = 25_000;

    private final TestSite mSite;
    private final String mName;
    private final List<Sent> mSent = new ArrayList<>();

    CallBatch(TestSite site, String name) {
        mSite = site;
        mName = name;
    }

    /** Sends calls with different prompts through all entry VMs in turn. */
    CallBatch send(int count, String requestClass, int tokens) {
        for (int i = 0; i < count; i++) {
            String prompt = "%s %d [[tokens=%d]]".formatted(mName, mSent.size(), tokens);
            EntryVm entry = mSite.entry(mSent.size() % mSite.entries().size());
            send(entry, requestClass, prompt);
        }
        return this;
    }

    CompletableFuture<CallerAnswer> send(EntryVm entry, String requestClass, String prompt) {
        ChatCall call =
                ChatCall.streamed(SiteSpec.KEYS.get(0), SiteSpec.MODEL, prompt)
                        .inClass(requestClass);
        CallSchedule due = CallSchedule.now(CALL_TIMEOUT_MILLIS);
        CompletableFuture<CallerAnswer> answer =
                mSite.client().chatAsync(entry.callers(), call, due);
        mSent.add(new Sent(entry, call, answer));
        return answer;
    }

    List<Sent> sent() {
        return List.copyOf(mSent);
    }

    List<CallerAnswer> answers() {
        return mSent.stream().map(sent -> sent.answer().join()).toList();
    }

    long count(Predicate<CallerAnswer> condition) {
        return answers().stream().filter(condition).count();
    }

    /** Compares every answer with the text that an engine computes for its call. */
    void verifyTexts(Predicate<EntryVm> mayBeCut) {
        mSent.forEach(sent -> verifyText(sent, mayBeCut.test(sent.entry())));
    }

    private static void verifyText(Sent sent, boolean mayBeCut) {
        CallerAnswer answer = sent.answer().join();
        String expected = sent.call().expectedText();
        String body = answer.body();
        String details =
                "%s failure=%s error=%s ... %s"
                        .formatted(
                                answer.header("X-Request-Id"),
                                answer.failure(),
                                answer.error(),
                                body.substring(Math.max(0, body.length() - MAX_EXCERPT_LENGTH)));
        if (answer.whole()) {
            assertThat(answer.text()).as(details).isEqualTo(expected);
            assertThat(body.strip()).as(details).endsWith(END_MARKER);
            assertThat(body.indexOf(END_MARKER)).isEqualTo(body.lastIndexOf(END_MARKER));
            return;
        }
        assertThat(expected).as(details).startsWith(answer.text());
        assertThat(body).doesNotContain(END_MARKER);
        if (!mayBeCut) {
            assertThat(answer.failure()).as(details).isEmpty();
            assertThat(answer.errorKind()).as(details).isNotEmpty();
        }
    }

    /** Holds one call, the entry VM that it was sent to and its answer. */
    record Sent(EntryVm entry, ChatCall call, CompletableFuture<CallerAnswer> answer) {}
}
