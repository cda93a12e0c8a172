package org.magnoliaseam.settings;

import java.net.InetSocketAddress;
import org.magnoliaseam.model.VmId;

/**
 * Names an entry VM and the address of its peer port.
 *
 * @param vm the VM
 * @param address the address of the peer port
 */
public record PeerAddress(VmId vm, InetSocketAddress address) {}
