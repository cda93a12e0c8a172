package org.magnoliaseam.testbed.demo;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.harness.BackendMember;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.harness.CallerError;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.ClassSpec;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.ManagedProcess;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Starts a small site, sends one chat request and one order, and prints the answers. */
public final class DemoCommand implements Subcommand {

    /** The key of the caller. */
    private static final String KEY = SiteSpec.KEYS.get(0);

    /** The largest number of attempts of a request that is refused without being run. */
    private static final int MAX_ATTEMPTS = 5;

    /** The question of the caller. */
    private static final String QUESTION =
            "How do I hollow the bowl of a spoon without splitting it? [[tokens=24]]";

    /** The order of the caller. */
    private static final String ORDER = "{\"key\":\"bale-2041\"}";

    /** The path of orders. */
    private static final String ORDER_PATH = "/services/" + SiteSpec.SERVICE + "/releases";

    @Override
    public int run(String[] args) {
        Arguments arguments = new CommandLineParser().flag("keep").parse(args);
        SiteSpec spec =
                new SiteSpec()
                        .withEntryVms(2)
                        .withEngines(2)
                        .withLedgers(3)
                        .withRouting("ticket-ttl = \"3 s\"");
        TestSite site = TestSite.start(spec);
        try {
            boolean answered = ask(site);
            answered &= order(site);
            if (arguments.has("keep")) {
                printAddresses(site);
                ManagedProcess.keepAll();
            } else {
                site.close();
                System.out.println("Everything is stopped.");
            }
            return answered ? 0 : 1;
        } catch (RuntimeException e) {
            site.close();
            throw e;
        }
    }

    /**
     * Sends a streamed chat request through the first entry VM.
     *
     * @param site the site
     * @return whether the answer is complete
     */
    private static boolean ask(TestSite site) {
        EntryVm entry = site.entry(0);
        System.out.println("A streamed chat request through " + entry.name() + ": " + QUESTION);
        ChatCall call = ChatCall.streamed(KEY, SiteSpec.MODEL, QUESTION);
        CallerAnswer answer = retryUntilRun(() -> site.client().chat(entry.callers(), call));
        return report(answer, answer.text());
    }

    /**
     * Sends an order with a ticket through the second entry VM.
     *
     * @param site the site
     * @return whether the answer to the order is complete
     */
    private static boolean order(TestSite site) {
        EntryVm entry = site.entry(1);
        System.out.println("A ledger request with a ticket through " + entry.name() + ": " + ORDER);
        CallerAnswer answer = retryUntilRun(() -> orderOnce(site.client(), entry));
        return report(answer, answer.body());
    }

    /**
     * Requests a ticket and sends the order with it.
     *
     * @param client the client
     * @param entry the entry VM
     * @return the answer to the order, or the answer to the request for a ticket if that failed
     */
    private static CallerAnswer orderOnce(CallerClient client, EntryVm entry) {
        CallerAnswer ticket = client.ticket(entry.callers(), KEY, ClassSpec.RELEASE.name());
        if (!ticket.whole()) {
            return ticket;
        }
        ServiceCall call =
                ServiceCall.post(KEY, ORDER_PATH, ORDER)
                        .with(ticket.json().path("ticket").asText());
        return client.service(entry.callers(), call);
    }

    /**
     * Sends a request and repeats it, as callers do, while it is refused without being run.
     *
     * @param call sends the request
     * @return the last answer
     */
    private static CallerAnswer retryUntilRun(Supplier<CallerAnswer> call) {
        CallerAnswer answer = call.get();
        for (int i = 1; i < MAX_ATTEMPTS && retryable(answer); i++) {
            CallerError error = answer.error().orElseThrow();
            System.out.printf(
                    "  refused: %s, executed %s; retrying in %d s%n",
                    error.kind(), error.executed(), error.retryAfterSeconds());
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(error.retryAfterSeconds()));
            answer = call.get();
        }
        return answer;
    }

    /**
     * Tells whether a request that was refused may be sent again.
     *
     * @param answer the answer
     * @return whether the request was not run and the error contains a delay
     */
    private static boolean retryable(CallerAnswer answer) {
        return answer.error()
                .filter(error -> error.executed().equals("no") && error.retryAfterSeconds() > 0)
                .isPresent();
    }

    /**
     * Prints an answer.
     *
     * @param answer the answer
     * @param text the text to print
     * @return whether the answer is complete
     */
    private static boolean report(CallerAnswer answer, String text) {
        if (!answer.whole()) {
            System.out.println("  incomplete answer: status " + answer.status());
            System.out.println("  " + answer.failure().orElse(answer.body()));
            return false;
        }
        System.out.println("  answer: " + text.strip());
        System.out.println("  backend server: " + answer.backendServer());
        System.out.println("  reason: " + answer.decision());
        return true;
    }

    /**
     * Prints the addresses of the processes that keep running and how to stop them.
     *
     * @param site the site
     */
    private static void printAddresses(TestSite site) {
        StringBuilder pids = new StringBuilder();
        for (EntryVm entry : site.entries()) {
            System.out.printf(
                    "%s: callers http://%s operators http://%s%n",
                    entry.name(), entry.callers(), entry.operators());
            append(pids, entry.process());
        }
        for (BackendMember member : site.standIns()) {
            System.out.printf("%s: http://%s%n", member.name(), member.address());
            append(pids, member.process());
        }
        System.out.println("key of a client account: " + KEY);
        System.out.println("settings and output: " + site.folder());
        System.out.println("stop everything: kill" + pids);
    }

    /**
     * Appends the identifier of a process to a list.
     *
     * @param pids the identifiers
     * @param process the process
     */
    private static void append(StringBuilder pids, ManagedProcess process) {
        pids.append(' ').append(process.pid());
    }
}
