package org.magnoliaseam.testbed.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.engine.EngineAnswers;
import org.magnoliaseam.testbed.harness.CallSchedule;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;

/**
 * Sends the requests of a trace when they are due, whether or not earlier ones have ended. Times
 * are measured from when a request was due, so sending it late counts as latency.
 */
public final class Replayer {

    /** The path of the ledger. */
    private static final String LEDGER_PATH = "/services/" + SiteSpec.SERVICE + "/releases";

    /** The client. */
    private final CallerClient mClient;

    /** The callers' ports of the entry VMs. */
    private final List<ListenAddress> mEntries;

    /** The targets, which include the time limit of the callers of each class. */
    private final OutcomeTargets mTargets;

    /** The source of expected answers. */
    private final EngineAnswers mAnswers;

    /**
     * Creates a replayer.
     *
     * @param client the client
     * @param entries the callers' ports of the entry VMs
     * @param targets the targets
     * @param answers the source of expected answers
     */
    public Replayer(
            CallerClient client,
            List<ListenAddress> entries,
            OutcomeTargets targets,
            EngineAnswers answers) {
        mClient = client;
        mEntries = entries;
        mTargets = targets;
        mAnswers = answers;
    }

    /**
     * Replays a trace and waits until every request has ended.
     *
     * @param trace the trace
     * @return the outcomes in the order of the trace
     */
    public List<RequestOutcome> replay(Trace trace) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        long startNanos = System.nanoTime();
        List<CompletableFuture<RequestOutcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < trace.requests().size(); i++) {
            outcomes.add(schedule(timer, trace.requests().get(i), i, startNanos));
        }
        List<RequestOutcome> ended = outcomes.stream().map(CompletableFuture::join).toList();
        timer.shutdownNow();
        return ended;
    }

    /**
     * Schedules a request.
     *
     * @param timer the timer
     * @param request the request
     * @param index the position of the request in the trace
     * @param startNanos the start of the replay
     * @return the outcome
     */
    private CompletableFuture<RequestOutcome> schedule(
            ScheduledExecutorService timer, TraceRequest request, int index, long startNanos) {
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(request.atMillis());
        CallSchedule due =
                new CallSchedule(dueNanos, mTargets.of(request.requestClass()).patienceMillis());
        timer.schedule(
                () -> send(request, index, due).thenAccept(outcome::complete),
                dueNanos - System.nanoTime(),
                TimeUnit.NANOSECONDS);
        return outcome;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param index the position of the request in the trace
     * @param due the time at which the request is due
     * @return the outcome
     */
    private CompletableFuture<RequestOutcome> send(
            TraceRequest request, int index, CallSchedule due) {
        ListenAddress entry = mEntries.get(request.entry() % mEntries.size());
        return switch (request.kind()) {
            case CHAT -> chat(entry, request, index, due);
            case LOOKUP ->
                    mClient.serviceAsync(
                                    entry, ServiceCall.get(request.key(), lookupPath(index)), due)
                            .thenApply(answer -> new RequestOutcome(request, answer, true));
            case ORDER -> order(entry, request, index, due);
        };
    }

    /**
     * Sends a chat request.
     *
     * @param entry the entry VM
     * @param request the request
     * @param index the position of the request in the trace
     * @param due the time at which the request is due
     * @return the outcome
     */
    private CompletableFuture<RequestOutcome> chat(
            ListenAddress entry, TraceRequest request, int index, CallSchedule due) {
        ChatCall call =
                new ChatCall(
                        request.key(),
                        Optional.of(request.requestClass()),
                        SiteSpec.MODEL,
                        request.prompt(index),
                        Optional.of(request.maxTokens()).filter(limit -> limit > 0),
                        true);
        String expected = mAnswers.answer(Json.tree(call.body())).text();
        return mClient.chatAsync(entry, call, due)
                .thenApply(
                        answer ->
                                new RequestOutcome(
                                        request, answer, answer.text().equals(expected)));
    }

    /**
     * Requests a ticket and sends an order with it.
     *
     * @param entry the entry VM
     * @param request the request
     * @param index the position of the request in the trace
     * @param due the time at which the request is due
     * @return the outcome
     */
    private CompletableFuture<RequestOutcome> order(
            ListenAddress entry, TraceRequest request, int index, CallSchedule due) {
        return mClient.ticketAsync(entry, request.key(), request.requestClass(), due)
                .thenCompose(ticket -> orderWith(ticket, entry, request, index, due))
                .thenApply(answer -> new RequestOutcome(request, answer, true));
    }

    /**
     * Sends an order with a ticket.
     *
     * @param ticket the answer with the ticket
     * @param entry the entry VM
     * @param request the request
     * @param index the position of the request in the trace
     * @param due the time at which the request is due
     * @return the answer to the order, or the answer to the ticket request if no ticket was issued
     */
    private CompletableFuture<CallerAnswer> orderWith(
            CallerAnswer ticket,
            ListenAddress entry,
            TraceRequest request,
            int index,
            CallSchedule due) {
        if (!ticket.whole()) {
            return CompletableFuture.completedFuture(ticket);
        }
        String body = "{\"key\":\"" + orderKey(index) + "\"}";
        ServiceCall call =
                ServiceCall.post(request.key(), LEDGER_PATH, body)
                        .with(ticket.json().path("ticket").asText());
        return mClient.serviceAsync(entry, call, due);
    }

    /**
     * Returns the path of a look-up.
     *
     * @param index the position of the request in the trace
     * @return the path
     */
    private static String lookupPath(int index) {
        return LEDGER_PATH + "/" + orderKey(index);
    }

    /**
     * Returns the key of an order.
     *
     * @param index the position of the request in the trace
     * @return the key
     */
    private static String orderKey(int index) {
        return "bale-" + index;
    }
}
