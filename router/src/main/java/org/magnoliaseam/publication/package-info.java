/**
 * Reads and watches the configuration and the list of VMs that the platform publishes. It never
 * writes to the platform.
 */
package org.magnoliaseam.publication;
