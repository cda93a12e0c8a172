/**
 * Divides the concurrency limit of a backend server among the entry VMs that use it. All entry VMs
 * compute the same shares from the same version of the VM list.
 */
package org.magnoliaseam.share;
