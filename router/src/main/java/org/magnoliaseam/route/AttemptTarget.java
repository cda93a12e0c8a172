package org.magnoliaseam.route;

import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.VmId;

/** Identifies the target of an attempt. */
sealed interface AttemptTarget {

    /**
     * Returns the name for decision records.
     *
     * @return the name of the backend server or peer
     */
    String name();

    /**
     * Identifies a backend server; the attempt occupies a dispatcher slot.
     *
     * @param id the backend server
     */
    record Server(BackendServerId id) implements AttemptTarget {
        @Override
        public String name() {
            return id.value();
        }
    }

    /**
     * Identifies a peer that runs the request in place of this entry VM.
     *
     * @param vm the peer
     */
    record Peer(VmId vm) implements AttemptTarget {
        @Override
        public String name() {
            return vm.value();
        }
    }
}
