/** Holds the proxy that injects faults into a TCP link. */
package org.magnoliaseam.testbed.proxy;
