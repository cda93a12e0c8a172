package org.magnoliaseam.peer;

import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;

/**
 * Identifies one run of the process on an entry VM.
 *
 * @param vm the VM
 * @param incarnation identifies the run
 */
record PeerIdentity(VmId vm, Incarnation incarnation) {}
