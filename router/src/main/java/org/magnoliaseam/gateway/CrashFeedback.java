package org.magnoliaseam.gateway;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.model.FailureDomain;

/**
 * Records what one attempt shows about whether its request crashes backend servers. Thread-safe.
 */
final class CrashFeedback {

    /** Protects backend servers from requests that crash them. */
    private final CrashGuard mGuard;

    /** The start of the backend server that was published when the attempt began. */
    private final ServerIncarnation mServer;

    /** The failure domain of the backend server. */
    private final FailureDomain mDomain;

    /** The request. */
    private final GatewayRequest mRequest;

    /** Whether other guarded requests may run at the backend server. */
    private final AtomicBoolean mGuardEnded;

    /** The local monotonic time at which the connection was made; empty before. */
    private volatile OptionalLong mOpenedNanos = OptionalLong.empty();

    /**
     * Creates a recorder for an attempt.
     *
     * @param guard protects backend servers from requests that crash them
     * @param start the selected backend server
     * @param request the request
     */
    CrashFeedback(CrashGuard guard, ServerChoice.Start start, GatewayRequest request) {
        mGuard = guard;
        mServer = new ServerIncarnation(start.server().id(), start.entry().startMark());
        mDomain = start.entry().failureDomain();
        mRequest = request;
        mGuardEnded = new AtomicBoolean(!start.guarded());
    }

    /**
     * Returns the start of the backend server that was published when the attempt began.
     *
     * @return the start
     */
    ServerIncarnation server() {
        return mServer;
    }

    /**
     * Records that the attempt has a connection.
     *
     * @param openedNanos the local monotonic time at which it was made
     */
    void connected(long openedNanos) {
        mOpenedNanos = OptionalLong.of(openedNanos);
        mGuard.connected(mServer, openedNanos, openedNanos);
    }

    /** Records that the attempt is sent. */
    void sent() {
        if (!mGuardEnded.get()) {
            mGuard.sent(mServer.id(), mRequest);
        }
    }

    /**
     * Records that the backend server begins its answer.
     *
     * @param sentNanos the local monotonic time at which the attempt was sent
     */
    void begun(long sentNanos) {
        mOpenedNanos.ifPresent(opened -> mGuard.connected(mServer, opened, sentNanos));
    }

    /**
     * Records that the backend server continues its answer.
     *
     * @param sentNanos the local monotonic time at which the attempt was sent
     */
    void progressed(long sentNanos) {
        mGuard.answers(mServer, sentNanos);
    }

    /** Records that the answer has gone on for some time. */
    void lasted() {
        if (mGuard.lasted(mServer.id(), mRequest)) {
            endGuard();
        }
    }

    /** Records that the answer is complete: the request has not crashed the backend server. */
    void answered() {
        mGuard.answered(mRequest);
        endGuard();
    }

    /**
     * Records that the backend server may have crashed before its answer was complete.
     *
     * @param sentNanos the local monotonic time at which the attempt was sent
     */
    void lost(long sentNanos) {
        mGuard.lost(mServer, mDomain, mRequest, sentNanos);
    }

    /** Lets other guarded requests run at the backend server. */
    void endGuard() {
        if (mGuardEnded.compareAndSet(false, true)) {
            mGuard.ended(mServer.id());
        }
    }
}
