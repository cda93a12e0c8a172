package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.magnoliaseam.testbed.harness.CallSchedule;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;
import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.LinkFaults;

/** Holds one order that is sent several times under one ticket while faults occur. */
final class TicketTrial {

    private static final Duration SERVING_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(5);
    private static final long CALL_TIMEOUT_MILLIS = 8_000;
    private static final String ACCOUNT_KEY = SiteSpec.KEYS.get(0);

    private final TestSite mSite;
    private final CountedLedger mLedger;
    private final String mKey;
    private final int mRotation;
    private final List<CompletableFuture<CallerAnswer>> mAnswers = new ArrayList<>();
    private ServiceCall mCall;

    TicketTrial(TestSite site, CountedLedger ledger, String key, int rotation) {
        mSite = site;
        mLedger = ledger;
        mKey = key;
        mRotation = rotation;
    }

    static ServiceCall order(String key) {
        String body = "{\"key\":\"%s\"}".formatted(key);
        return ServiceCall.post(ACCOUNT_KEY, "/services/ledger/releases", body);
    }

    static String ticket(TestSite site, EntryVm issuer) {
        CallerAnswer answer = site.client().ticket(issuer.callers(), ACCOUNT_KEY, "release");
        assertThat(answer.status()).as(answer.body()).isEqualTo(201);
        return answer.json().path("ticket").asText();
    }

    /** Waits until orders with tickets of each entry VM run when sent through the next one. */
    static void awaitServing(TestSite site) {
        await().atMost(SERVING_TIMEOUT).until(() -> serves(site));
    }

    void issue() {
        mCall = order(mKey).with(ticket(mSite, issuer()));
    }

    EntryVm issuer() {
        return entry(0);
    }

    EntryVm forwarder() {
        return entry(1);
    }

    EntryVm other() {
        return entry(2);
    }

    CompletableFuture<CallerAnswer> send(EntryVm entry) {
        CompletableFuture<CallerAnswer> answer =
                mSite.client()
                        .serviceAsync(
                                entry.callers(), mCall, CallSchedule.now(CALL_TIMEOUT_MILLIS));
        mAnswers.add(answer);
        return answer;
    }

    /** Sends the order through the forwarding entry VM and waits until the ledger runs it. */
    void sendAndAwaitRun() {
        send(forwarder());
        await().pollInterval(Duration.ofMillis(10)).atMost(RUN_TIMEOUT).until(() -> runs() > 0);
    }

    void sendAndAwaitAnswer() {
        send(forwarder()).join();
    }

    void sendTwiceAtOnce(EntryVm entry) {
        send(entry);
        send(entry);
    }

    void awaitAnswers() {
        mAnswers.forEach(CompletableFuture::join);
    }

    void signal(EntryVm entry, Signal signal) {
        entry.process().send(signal);
    }

    void kill(EntryVm entry) {
        entry.process().kill();
    }

    void breakLink(EntryVm one, EntryVm another, Fault fault) {
        mSite.links().apply(List.of(one.name()), List.of(another.name()), LinkFaults.both(fault));
    }

    void stopListUpdates(EntryVm entry) {
        mSite.links()
                .between(entry.name(), TestSite.PLATFORM)
                .apply(LinkFaults.both(Fault.BLACKHOLE));
    }

    void setState(EntryVm entry, String state) {
        mSite.setVmState(mSite.entries().indexOf(entry), state);
    }

    CountedLedger ledger() {
        return mLedger;
    }

    int runs() {
        return mLedger.runs(mKey);
    }

    /** Ends all faults and sends the order once more through every entry VM. */
    void recover() {
        mSite.links().heal();
        for (EntryVm entry : mSite.entries()) {
            signal(entry, Signal.CONT);
            if (!entry.process().alive()) {
                entry.start();
            }
        }
        mLedger.control("{\"delayMillis\":0,\"resetBefore\":0,\"resetAfterRun\":0}");
        awaitAnswers();
        mSite.entries().forEach(EntryVm::awaitReady);
        mSite.entries().forEach(this::send);
        awaitAnswers();
    }

    /** Compares all answers with the count of the ledger. */
    void verify(int minRuns) {
        assertThat(runs()).as(this::toString).isBetween(minRuns, 1);
        if (runs() == 1) {
            assertThat(executed()).as(this::toString).doesNotContain("no");
        } else {
            assertThat(executed()).as(this::toString).doesNotContain("yes", "200");
        }
    }

    @Override
    public String toString() {
        return mKey + ": " + mAnswers.stream().map(answer -> answer.join().body()).toList();
    }

    private List<String> executed() {
        return mAnswers.stream().map(CompletableFuture::join).map(TicketTrial::executed).toList();
    }

    private static String executed(CallerAnswer answer) {
        String status = Integer.toString(answer.status());
        return answer.error().map(error -> error.executed()).orElse(status);
    }

    private EntryVm entry(int offset) {
        return mSite.entry((mRotation + offset) % mSite.entries().size());
    }

    private static boolean serves(TestSite site) {
        if (!site.entries().stream().allMatch(EntryVm::ready)) {
            return false;
        }
        int count = site.entries().size();
        List<CompletableFuture<CallerAnswer>> probes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServiceCall call =
                    order("probe-" + System.nanoTime()).with(ticket(site, site.entry(i)));
            EntryVm forwarder = site.entry((i + 1) % count);
            CallSchedule due = CallSchedule.now(CALL_TIMEOUT_MILLIS);
            probes.add(site.client().serviceAsync(forwarder.callers(), call, due));
        }
        return probes.stream().map(CompletableFuture::join).allMatch(a -> a.status() == 200);
    }
}
