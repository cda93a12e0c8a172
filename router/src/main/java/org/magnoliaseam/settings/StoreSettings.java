package org.magnoliaseam.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;

/**
 * Holds what a process learns from its own settings file where a metadata store publishes routes
 * and backend servers.
 *
 * @param vm the VM that the process runs on
 * @param failureDomain the failure domain of the VM
 * @param callersAddress the address of the callers' port
 * @param readinessAddress the address at which the balancer asks for readiness
 * @param operatorsAddress the address of the operators' port
 * @param peersAddress the address of the peer port
 * @param storeAddress the address of the metadata store
 * @param seeds the peer addresses of some entry VMs, which may be out of date
 * @param retryRatio the retries of all entry VMs as a fraction of first tries
 * @param retrySlack the retries of all entry VMs that may come on top in one window
 * @param stopGrace the time from the signal to stop until the process is killed
 */
public record StoreSettings(
        VmId vm,
        FailureDomain failureDomain,
        InetSocketAddress callersAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress operatorsAddress,
        InetSocketAddress peersAddress,
        InetSocketAddress storeAddress,
        List<InetSocketAddress> seeds,
        double retryRatio,
        double retrySlack,
        Duration stopGrace) {}
