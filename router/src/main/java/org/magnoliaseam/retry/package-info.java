/** Limits the retries of all entry VMs and decides which requests are hedged. */
package org.magnoliaseam.retry;
