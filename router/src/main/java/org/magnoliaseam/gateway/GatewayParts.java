package org.magnoliaseam.gateway;

import java.util.Random;
import org.magnoliaseam.failure.FailureLog;
import org.magnoliaseam.permit.EnginePermits;
import org.magnoliaseam.permit.PermitIds;
import org.magnoliaseam.permit.PermitSender;
import org.magnoliaseam.time.MonotonicClock;

/**
 * Holds the components that each request in progress uses.
 *
 * @param pool chooses backend servers
 * @param port sends attempts to backend servers
 * @param permits asks for permits of engines
 * @param waiting holds the requests that wait for a backend server
 * @param answers limits the memory of incomplete answers
 * @param log writes the log record of each request
 * @param failures logs and counts unexpected failures
 * @param clock the clock
 */
public record GatewayParts(
        ServerPool pool,
        AttemptSender port,
        EnginePermits permits,
        WaitingCalls waiting,
        AnswerMemory answers,
        RequestLog log,
        FailureLog failures,
        MonotonicClock clock) {

    /**
     * Creates the components for a pool, without waiting requests.
     *
     * @param pool chooses backend servers
     * @param port sends attempts to backend servers
     * @param peers sends messages about permits to other entry VMs
     * @param log writes the log record of each request
     * @param clock the clock
     */
    public GatewayParts(
            ServerPool pool,
            AttemptSender port,
            PermitSender peers,
            RequestLog log,
            MonotonicClock clock) {
        this(pool, port, peers, log, new FailureLog(log.metrics(), clock), clock);
    }

    /**
     * Creates the components that log their failures.
     *
     * @param pool chooses backend servers
     * @param port sends attempts to backend servers
     * @param peers sends messages about permits to other entry VMs
     * @param log writes the log record of each request
     * @param failures logs and counts unexpected failures
     * @param clock the clock
     */
    public GatewayParts(
            ServerPool pool,
            AttemptSender port,
            PermitSender peers,
            RequestLog log,
            FailureLog failures,
            MonotonicClock clock) {
        this(
                pool,
                port,
                new EnginePermits(
                        new PermitIds(new Random()), peers, pool::membership, failures, clock),
                new WaitingCalls(failures, clock),
                AnswerMemory.ofHeap(),
                log,
                failures,
                clock);
    }
}
