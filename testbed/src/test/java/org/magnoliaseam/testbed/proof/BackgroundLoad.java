package org.magnoliaseam.testbed.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Sends a bounded number of streams through entry VMs that a load balancer sees as ready. */
final class BackgroundLoad implements AutoCloseable {

    private static final int MAX_STREAMS = 5_000;

    private final TestSite mSite;
    private final String mRequestClass;
    private final int mTokens;
    private final long mBalancerPollMillis;
    private final AtomicInteger mStarted = new AtomicInteger();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> mFailures = new ConcurrentLinkedQueue<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile List<EntryVm> mReady;
    private volatile boolean mEnded;

    /** Starts callers that each send one stream after another. */
    BackgroundLoad(
            TestSite site, int callers, String requestClass, int tokens, long balancerPollMillis) {
        mSite = site;
        mRequestClass = requestClass;
        mTokens = tokens;
        mBalancerPollMillis = balancerPollMillis;
        mReady = site.entries();
        start(this::poll);
        for (int i = 0; i < callers; i++) {
            start(this::call);
        }
    }

    /** Returns one line for each stream that was refused, cut off or differs from the answer. */
    List<String> failures() {
        return List.copyOf(mFailures);
    }

    /** Returns the number of streams that arrived whole. */
    int whole() {
        return mWhole.get();
    }

    /** Stops sending and waits until the open streams have ended. */
    @Override
    public void close() {
        mEnded = true;
        mThreads.forEach(Waits::join);
    }

    private void start(Runnable work) {
        Thread thread = new Thread(work, "load");
        thread.setDaemon(true);
        mThreads.add(thread);
        thread.start();
    }

    private void poll() {
        while (!mEnded) {
            List<EntryVm> ready = mSite.entries().stream().filter(Balancer::ready).toList();
            mReady = ready.isEmpty() ? mReady : ready;
            Waits.sleep(mBalancerPollMillis);
        }
    }

    private void call() {
        int number = mStarted.incrementAndGet();
        while (!mEnded && number <= MAX_STREAMS) {
            List<EntryVm> ready = mReady;
            EntryVm entry = ready.get(number % ready.size());
            ChatCall call = question(number);
            check(entry, call, mSite.client().chat(entry.callers(), call));
            number = mStarted.incrementAndGet();
        }
    }

    private ChatCall question(int number) {
        String prompt = "What does seam %d hold? [[tokens=%d]]".formatted(number, mTokens);
        return ChatCall.streamed(SiteSpec.KEYS.get(0), SiteSpec.MODEL, prompt)
                .inClass(mRequestClass);
    }

    private void check(EntryVm entry, ChatCall call, CallerAnswer answer) {
        describe(call, answer)
                .ifPresentOrElse(
                        fault ->
                                mFailures.add(
                                        "%tT %s %s"
                                                .formatted(
                                                        System.currentTimeMillis(),
                                                        entry.name(),
                                                        fault)),
                        mWhole::incrementAndGet);
    }

    /** Returns what is wrong with an answer, if anything is. */
    static Optional<String> describe(ChatCall call, CallerAnswer answer) {
        if (answer.whole() && answer.text().equals(call.expectedText())) {
            return Optional.empty();
        }
        return Optional.of(
                "status=%d id=%s backend=%s error=%s failure=%s characters=%d"
                        .formatted(
                                answer.status(),
                                answer.headers() == null ? "" : answer.header("X-Request-Id"),
                                answer.headers() == null ? "" : answer.backendServer(),
                                answer.error(),
                                answer.failure(),
                                answer.text().length()));
    }
}
