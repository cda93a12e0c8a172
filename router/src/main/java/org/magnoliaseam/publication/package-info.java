/**
 * Holds the exchange with the platform: reading and watching the configuration and the list of VMs.
 * Nothing is ever written to the platform.
 */
package org.magnoliaseam.publication;
