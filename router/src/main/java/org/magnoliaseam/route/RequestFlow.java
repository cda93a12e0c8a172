package org.magnoliaseam.route;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.magnoliaseam.dispatch.Decision;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AnswerSink;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.exchange.RequestService;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.limit.AccountLimiter;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.relay.BufferedOutput;
import org.magnoliaseam.relay.ChatOutput;
import org.magnoliaseam.relay.ChatProgress;
import org.magnoliaseam.relay.StreamOutput;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.VersionedConfiguration;

/** Accepts requests from callers and peers and executes the decisions of the dispatcher. */
public final class RequestFlow implements RequestService {

    /** The log. */
    private static final Logger LOG = LogManager.getLogger("route");

    /** The dependencies that all requests share. */
    private final RequestParts mParts;

    /** Issues and validates tickets. */
    private final TicketService mTickets;

    /** Reads the configuration in force. */
    private final Supplier<Optional<VersionedConfiguration>> mConfiguration;

    /** Returns whether the process accepts no new work. */
    private final BooleanSupplier mLeaving;

    /** Reads the wall clock in milliseconds since 1970. */
    private final LongSupplier mEpochMillis;

    /** The requests that are queued or running. */
    private final Map<RequestId, ActiveRequest> mActive = new ConcurrentHashMap<>();

    /** The requests whose answer has not ended. */
    private final OpenAnswers mOpenAnswers = new OpenAnswers();

    /** The limits of the client accounts. */
    private final Map<ClientAccountId, AccountLimiter> mLimiters = new ConcurrentHashMap<>();

    /**
     * Creates a flow.
     *
     * @param parts the dependencies that all requests share
     * @param tickets issues and validates tickets
     * @param configuration reads the configuration in force
     * @param leaving returns whether the process accepts no new work
     * @param epochMillis reads the wall clock in milliseconds since 1970
     */
    public RequestFlow(
            RequestParts parts,
            TicketService tickets,
            Supplier<Optional<VersionedConfiguration>> configuration,
            BooleanSupplier leaving,
            LongSupplier epochMillis) {
        mParts = parts;
        mTickets = tickets;
        mConfiguration = configuration;
        mLeaving = leaving;
        mEpochMillis = epochMillis;
        parts.loop().handler(this::execute);
    }

    @Override
    public Cancellation submit(AuthenticatedRequest request, AnswerSink sink) {
        return mOpenAnswers.count(sink, counted -> accept(request, counted));
    }

    /**
     * Accepts a request that a peer has forwarded.
     *
     * @param forwarded the request
     * @param sink receives the answer
     * @return cancels the request
     */
    public Cancellation receive(ForwardedRequest forwarded, AnswerSink sink) {
        return mOpenAnswers.count(sink, counted -> acceptForwarded(forwarded, counted));
    }

    /**
     * Recomputes for all queued requests which servers they must avoid because they are suspected
     * of causing crashes, and ends attempts that have been silent for too long.
     */
    public void tick() {
        mActive.values().forEach(ActiveRequest::tick);
    }

    /**
     * Returns the number of requests that are queued, running or at the issuer of their ticket, or
     * whose answer is not yet written.
     *
     * @return the number of requests
     */
    public int active() {
        return mOpenAnswers.count();
    }

    /**
     * Accepts a request of a caller.
     *
     * @param request the request
     * @param sink receives the answer
     * @return cancels the request
     */
    private Cancellation accept(AuthenticatedRequest request, AnswerSink sink) {
        Optional<VersionedConfiguration> configuration = mConfiguration.get();
        if (configuration.isEmpty()) {
            sink.refuse(Refusal.of(ErrorKind.NOT_READY));
            return () -> {};
        }
        RecordBuilder record = record(request, configuration.get());
        Admission admission = new Admission(request, sink, record, new ChatProgress(0));
        ClientAccount account =
                configuration.get().configuration().accounts().get(request.account());
        AccountLimiter limiter =
                mLimiters.computeIfAbsent(request.account(), id -> new AccountLimiter());
        if (account == null
                || !limiter.tryOpen(
                        account.requestsPerSecond(),
                        account.maxInFlight(),
                        mParts.clock().nanos())) {
            return admission.refuse(ErrorKind.ACCOUNT_LIMIT, mParts.records());
        }
        return admit(admission, limiter::close);
    }

    /**
     * Accepts a request of a peer.
     *
     * @param forwarded the request
     * @param sink receives the answer
     * @return cancels the request
     */
    private Cancellation acceptForwarded(ForwardedRequest forwarded, AnswerSink sink) {
        Optional<VersionedConfiguration> configuration = mConfiguration.get();
        boolean handedOver = forwarded.purpose() == ForwardPurpose.HAND_OVER;
        if (configuration.isEmpty() || handedOver && mLeaving.getAsBoolean()) {
            sink.refuse(Refusal.of(ErrorKind.NOT_READY));
            return () -> {};
        }
        long now = mParts.clock().nanos();
        Result<AuthenticatedRequest, Refusal> received =
                Forwarding.receive(forwarded, configuration.get().configuration(), now);
        if (received instanceof Result.Err<AuthenticatedRequest, Refusal> err) {
            sink.refuse(err.error());
            return () -> {};
        }
        AuthenticatedRequest request =
                ((Result.Ok<AuthenticatedRequest, Refusal>) received).value();
        RecordBuilder record = record(request, configuration.get());
        ChatProgress progress = new ChatProgress(Forwarding.resumeOffset(forwarded));
        return admit(new Admission(request, sink, record, progress), () -> {});
    }

    /**
     * Admits a request: refuses it if it crashes backend servers, checks its ticket if it is not
     * idempotent, or queues it. The ticket of a request that was handed over is not checked again,
     * because the peer has already claimed it and hands the request over only once.
     *
     * @param admission the request
     * @param onEnd runs when the request has ended
     * @return cancels the request
     */
    private Cancellation admit(Admission admission, Runnable onEnd) {
        AuthenticatedRequest request = admission.request();
        if (mParts.guard().crashing(request)) {
            onEnd.run();
            return admission.refuse(ErrorKind.CRASHING_REQUEST, mParts.records());
        }
        if (request.requestClass().idempotent() || request.handedOver()) {
            if (!request.handedOver()) {
                mParts.guard().recordFirstAttempt();
            }
            return enqueue(admission, onEnd);
        }
        return new TicketAdmission(mParts, mTickets, this::enqueue).admit(admission, onEnd);
    }

    /**
     * Puts a request into the queue.
     *
     * @param admission the request
     * @param onEnd runs when the request has ended
     * @return cancels the request
     */
    private Cancellation enqueue(Admission admission, Runnable onEnd) {
        AuthenticatedRequest request = admission.request();
        ActiveRequest active =
                new ActiveRequest(
                        request,
                        admission.sink(),
                        output(admission),
                        admission.progress(),
                        admission.record(),
                        mParts,
                        () -> {
                            mActive.remove(request.id());
                            onEnd.run();
                        });
        mActive.put(request.id(), active);
        active.enqueue();
        return active::callerGone;
    }

    /**
     * Creates the output of a chat answer.
     *
     * @param admission the request
     * @return the output; empty for plain services
     */
    private static Optional<ChatOutput> output(Admission admission) {
        AuthenticatedRequest request = admission.request();
        if (request.model().isEmpty()) {
            return Optional.empty();
        }
        if (request.stream()) {
            return Optional.of(new StreamOutput(admission.sink()));
        }
        String model = request.model().get().value();
        return Optional.of(new BufferedOutput(admission.sink(), request.id(), model));
    }

    /**
     * Starts the decision record of a request.
     *
     * @param request the request
     * @param configuration the configuration in force
     * @return the record
     */
    private RecordBuilder record(
            AuthenticatedRequest request, VersionedConfiguration configuration) {
        RecordBuilder record =
                new RecordBuilder(
                        request,
                        mParts.vm(),
                        configuration,
                        mEpochMillis.getAsLong(),
                        mParts.clock());
        String origin = request.forwarded().map(Enum::name).orElse("");
        record.add(RecordEventKind.ARRIVED, origin, request.method() + " " + request.path());
        return record;
    }

    /**
     * Executes a decision; a failure ends the request, so that its caller is not left waiting.
     *
     * @param decision the decision
     */
    private void execute(Decision decision) {
        ActiveRequest active = mActive.get(decision.id());
        if (active == null) {
            if (decision instanceof Decision.Start) {
                mParts.loop().finished(decision.id());
            }
            return;
        }
        try {
            execute(decision, active);
        } catch (RuntimeException e) {
            LOG.error("route: a decision failed, request={}", decision.id(), e);
            active.abandon();
        }
    }

    /**
     * Executes a decision about a request that has not ended.
     *
     * @param decision the decision
     * @param active the request
     */
    private static void execute(Decision decision, ActiveRequest active) {
        if (decision instanceof Decision.Start start) {
            active.start(start);
        } else if (decision instanceof Decision.Refuse refuse) {
            active.refuse(refuse.kind(), refuse.reason());
        } else if (decision instanceof Decision.Preempt preempt) {
            active.preempt(preempt);
        } else if (decision instanceof Decision.HandOver handOver) {
            active.handOver(handOver);
        }
    }
}
