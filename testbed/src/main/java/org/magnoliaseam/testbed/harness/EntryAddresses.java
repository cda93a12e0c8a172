package org.magnoliaseam.testbed.harness;

import org.magnoliaseam.testbed.http.ListenAddress;

/**
 * Holds the addresses of one {@code route} process.
 *
 * @param callers the address for callers
 * @param operators the address for operators
 * @param peers the address for peers
 */
record EntryAddresses(ListenAddress callers, ListenAddress operators, ListenAddress peers) {

    /**
     * Allocates a free port for each address.
     *
     * @return the addresses
     */
    static EntryAddresses free() {
        return new EntryAddresses(Ports.free(), Ports.free(), Ports.free());
    }
}
