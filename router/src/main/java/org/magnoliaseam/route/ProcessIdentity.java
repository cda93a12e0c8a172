package org.magnoliaseam.route;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;

/**
 * Identifies this run of the process and creates IDs for the requests that arrive at it.
 * Thread-safe.
 */
public final class ProcessIdentity {

    /** This entry VM. */
    private final VmId mVm;

    /** The identifier of this run. */
    private final Incarnation mIncarnation;

    /** The number of the last request. */
    private final AtomicLong mRequests = new AtomicLong();

    /**
     * Creates the identity of a new run.
     *
     * @param vm this entry VM
     * @param random the source of the run identifier
     */
    public ProcessIdentity(VmId vm, SecureRandom random) {
        mVm = vm;
        mIncarnation = new Incarnation(random.nextLong());
    }

    /**
     * Returns the identifier of this run.
     *
     * @return the random identifier
     */
    public Incarnation incarnation() {
        return mIncarnation;
    }

    /**
     * Creates a request ID.
     *
     * @return an ID that no other request has
     */
    public RequestId nextRequestId() {
        return new RequestId(mVm + "-" + mIncarnation + "-" + mRequests.incrementAndGet());
    }
}
