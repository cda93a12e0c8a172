package org.magnoliaseam.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.VmId;

/**
 * Holds the local settings of a process at a site whose routes and backend servers are published by
 * a metadata store.
 *
 * @param vm the VM that the process runs on
 * @param failureDomain the failure domain of the VM
 * @param callersAddress the address of the callers' port
 * @param readinessAddress the address at which the load balancer checks readiness
 * @param operatorsAddress the address of the operators' port
 * @param peersAddress the address of the peer port
 * @param storeAddress the address of the metadata store
 * @param storeContactLimit the time within which lost contact with the metadata store is noticed
 *     and restored, if the store is reachable again
 * @param seeds the peer port addresses of some entry VMs for the first contact; may be outdated
 * @param retryRatio the allowed retries of all entry VMs as a fraction of first attempts
 * @param retrySlack the retries that all entry VMs may make in one window in addition to that
 *     fraction
 * @param stopGrace the time between the stop signal and the forced end of the process
 * @param crossingCost the time that a request has to save by leaving its failure domain; 0 if
 *     failure domains decide only between equal backend servers
 * @param serverHeartbeat the interval at which backend servers write their entries to the metadata
 *     store
 */
public record StoreSettings(
        VmId vm,
        FailureDomain failureDomain,
        InetSocketAddress callersAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress operatorsAddress,
        InetSocketAddress peersAddress,
        InetSocketAddress storeAddress,
        Duration storeContactLimit,
        List<InetSocketAddress> seeds,
        double retryRatio,
        double retrySlack,
        Duration stopGrace,
        Duration crossingCost,
        Duration serverHeartbeat) {}
