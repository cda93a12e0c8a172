package org.magnoliaseam.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.Site;
import org.magnoliaseam.model.VmId;

/**
 * Holds the local settings of a process at a site whose configuration comes from the platform.
 *
 * @param vm the VM that the process runs on
 * @param site the site of the VM
 * @param region the region of the VM
 * @param failureDomain the failure domain of the VM
 * @param callersAddress the address of the callers' port
 * @param operatorsAddress the address of the operators' port
 * @param peersAddress the address of the peer port
 * @param platform the base address of the platform
 * @param peers the entry VMs used until the VM list of the platform has been read
 * @param peerSecretFile the file that holds the secret shared by the entry VMs; it also signs
 *     tickets
 * @param dispatchPolicy the policy for queuing requests and choosing backend servers
 * @param maxBodyBytes the largest accepted request body in bytes
 * @param bodyTimeout the time limit for receiving a request body
 * @param balancerGrace the time at shutdown during which the process reports itself unready but
 *     still accepts new work
 * @param logFile the file for decision records; empty for standard error
 */
public record LocalSettings(
        VmId vm,
        Site site,
        Region region,
        FailureDomain failureDomain,
        InetSocketAddress callersAddress,
        InetSocketAddress operatorsAddress,
        InetSocketAddress peersAddress,
        URI platform,
        List<PeerAddress> peers,
        String peerSecretFile,
        DispatchPolicy dispatchPolicy,
        int maxBodyBytes,
        Duration bodyTimeout,
        Duration balancerGrace,
        String logFile) {}
