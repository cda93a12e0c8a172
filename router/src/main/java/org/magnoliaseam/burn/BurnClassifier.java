package org.magnoliaseam.burn;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.RecordEvent;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.explain.RecordSummary;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.RequestClass;

/** Determines from a decision record whether and why a request missed its targets. */
public final class BurnClassifier {

    /** The outcome of a request whose caller received the complete answer. */
    private static final String COMPLETED = "completed";

    /**
     * The error kinds that the caller is responsible for; they count neither as good nor as bad.
     */
    private static final Set<ErrorKind> CALLER_FAULTS =
            EnumSet.of(
                    ErrorKind.INVALID_JSON,
                    ErrorKind.INVALID_REQUEST,
                    ErrorKind.UNAUTHENTICATED,
                    ErrorKind.CLASS_FORBIDDEN,
                    ErrorKind.UNKNOWN_CLASS,
                    ErrorKind.UNKNOWN_MODEL,
                    ErrorKind.UNKNOWN_SERVICE,
                    ErrorKind.NOT_FOUND,
                    ErrorKind.METHOD_NOT_ALLOWED,
                    ErrorKind.BODY_TOO_LARGE,
                    ErrorKind.BODY_TIMEOUT,
                    ErrorKind.ACCOUNT_LIMIT,
                    ErrorKind.TICKET_REQUIRED,
                    ErrorKind.TICKET_FORGED,
                    ErrorKind.TICKET_MISMATCH,
                    ErrorKind.TICKET_EXPIRED_UNUSED,
                    ErrorKind.TICKET_IN_PROGRESS,
                    ErrorKind.CALLER_GONE);

    /** Prevents instances of this utility class. */
    private BurnClassifier() {}

    /**
     * Tells whether a request counts against the objective of its class.
     *
     * @param record the record
     * @return false if the caller is responsible for the outcome
     */
    public static boolean countsAgainstObjective(DecisionRecord record) {
        String outcome = record.summary().outcome();
        return CALLER_FAULTS.stream().noneMatch(kind -> kind.text().equals(outcome));
    }

    /**
     * Tells whether the record was written by the entry VM that the caller is connected to.
     *
     * @param record the record
     * @return false if a peer forwarded or handed over the request
     */
    public static boolean fromCaller(DecisionRecord record) {
        return record.events().stream()
                .filter(event -> event.kind() == RecordEventKind.ARRIVED)
                .allMatch(event -> event.subject().isEmpty());
    }

    /**
     * Determines why a request missed its targets.
     *
     * @param record the record
     * @param configuration the configuration in force
     * @return the cause, for refusals followed by a dot and the error kind; empty if every target
     *     was met
     */
    public static Optional<String> cause(DecisionRecord record, Configuration configuration) {
        RecordSummary summary = record.summary();
        if (summary.onTime()) {
            return Optional.empty();
        }
        if (affectedByOutOfService(record, configuration)) {
            return Optional.of(BurnCause.FAILURE_DOMAIN_MOVE.text());
        }
        if (hasEvent(record, RecordEventKind.PREEMPTED)) {
            return Optional.of(BurnCause.PREEMPTION.text());
        }
        if (!summary.outcome().equals(COMPLETED)) {
            return Optional.of(BurnCause.REFUSAL.text() + "." + summary.outcome());
        }
        if (hasEvent(record, RecordEventKind.RETRIED)) {
            return Optional.of(BurnCause.RETRY.text());
        }
        RequestClass requestClass = configuration.classes().get(record.requestClass());
        boolean queueWait = requestClass != null && onTimeWithoutQueue(summary, requestClass);
        return Optional.of((queueWait ? BurnCause.QUEUE_WAIT : BurnCause.BACKEND_SERVER).text());
    }

    /**
     * Finds the failure domain of the backend server that this entry VM sent the request to last.
     *
     * @param record the record
     * @param configuration the configuration in force
     * @return the failure domain; empty if a peer ran the request or it was not run
     */
    public static Optional<FailureDomain> failureDomain(
            DecisionRecord record, Configuration configuration) {
        RecordEvent last = null;
        for (RecordEvent event : record.events()) {
            boolean started = event.kind() == RecordEventKind.STARTED;
            if (started || event.kind() == RecordEventKind.HANDED_OVER) {
                last = event;
            }
        }
        boolean startedHere = last != null && last.kind() == RecordEventKind.STARTED;
        return startedHere
                ? findServer(last.subject(), configuration).map(BackendServer::failureDomain)
                : Optional.empty();
    }

    /**
     * Tells whether an attempt failed or was held back at a backend server that is out of service.
     *
     * @param record the record
     * @param configuration the configuration in force
     * @return true if so
     */
    private static boolean affectedByOutOfService(
            DecisionRecord record, Configuration configuration) {
        List<RecordEventKind> kinds =
                List.of(RecordEventKind.TRY_FAILED, RecordEventKind.HELD_BACK);
        return record.events().stream()
                .filter(event -> kinds.contains(event.kind()))
                .map(event -> findServer(event.subject(), configuration))
                .flatMap(Optional::stream)
                .anyMatch(server -> outOfService(server, configuration));
    }

    /**
     * Tells whether operators have taken a backend server out of service.
     *
     * @param server the backend server
     * @param configuration the configuration in force
     * @return true if the backend server or its failure domain is out of service
     */
    private static boolean outOfService(BackendServer server, Configuration configuration) {
        return configuration.outOfService().backendServers().contains(server.id())
                || configuration.outOfService().failureDomains().contains(server.failureDomain());
    }

    /**
     * Finds the settings of a backend server.
     *
     * @param name the name of a backend server or of a peer
     * @param configuration the configuration in force
     * @return the settings; empty if no backend server has this name
     */
    private static Optional<BackendServer> findServer(String name, Configuration configuration) {
        return configuration.backendServers().values().stream()
                .filter(server -> server.id().value().equals(name))
                .findFirst();
    }

    /**
     * Tells whether a record contains an event.
     *
     * @param record the record
     * @param kind the kind of the event
     * @return true if it occurs at least once
     */
    private static boolean hasEvent(DecisionRecord record, RecordEventKind kind) {
        return record.events().stream().anyMatch(event -> event.kind() == kind);
    }

    /**
     * Tells whether the answer would have met its targets without the wait in the queue.
     *
     * @param summary the outcome and times of the request
     * @param requestClass the class
     * @return true if so
     */
    private static boolean onTimeWithoutQueue(RecordSummary summary, RequestClass requestClass) {
        boolean withoutTokens = requestClass.service().isPresent();
        long first = summary.firstTokenMillis() - summary.queueMillis();
        boolean tokensOnTime =
                withoutTokens
                        || first <= requestClass.targets().firstToken().toMillis()
                                && summary.tokenMillis()
                                        <= requestClass.targets().betweenTokens().toMillis();
        return tokensOnTime
                && summary.wholeMillis() - summary.queueMillis()
                        <= requestClass.targets().wholeAnswer().toMillis();
    }
}
