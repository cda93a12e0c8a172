package org.magnoliaseam.route;

import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.settings.BackendServer;

/** Decides whether attempts may be sent and records their outcomes. Thread-safe. */
public interface AttemptGuard {

    /**
     * Checks whether the current state still permits an attempt before it is sent, and counts the
     * attempt if so. Each permitted attempt ends with exactly one call of {@link #succeeded} or
     * {@link #ended}.
     *
     * @param server the backend server
     * @param request the request
     * @return the settings of the server, or empty if the attempt must not be sent
     */
    Optional<BackendServer> permit(BackendServerId server, AuthenticatedRequest request);

    /**
     * Checks a permitted attempt again immediately before its first byte is sent.
     *
     * @param server the backend server
     * @return true if the attempt may be sent
     */
    boolean confirm(BackendServerId server);

    /**
     * Computes a snapshot of the current state of the fleet.
     *
     * @return the snapshot, or empty before the first configuration
     */
    Optional<FleetView> refresh();

    /** Counts a first attempt. */
    void recordFirstAttempt();

    /**
     * Takes a retry from the retry budget if one is left.
     *
     * @return true if the retry may go ahead
     */
    boolean tryAcquireRetry();

    /**
     * Records the success of an attempt.
     *
     * @param server the backend server
     * @param request the request
     * @param times the start ID and the times that the attempt revealed about the server
     */
    void succeeded(BackendServerId server, AuthenticatedRequest request, AttemptTimes times);

    /**
     * Records the end of an attempt that did not succeed.
     *
     * @param server the backend server
     * @param request the request
     * @param failure the kind of failure
     * @param cancelled whether the router itself cancelled the attempt
     */
    void ended(
            BackendServerId server,
            AuthenticatedRequest request,
            BackendFailure failure,
            boolean cancelled);

    /**
     * Returns whether a request was running at several crashes.
     *
     * @param request the request
     * @return true if it must not be sent
     */
    boolean crashing(AuthenticatedRequest request);

    /**
     * Returns the backend servers that a request must avoid because it was running at a crash: each
     * server runs at most one such request, and each such request runs on one server at a time.
     *
     * @param request the request
     * @return the servers to exclude; empty for most requests
     */
    Set<BackendServerId> suspectExclusions(AuthenticatedRequest request);
}
