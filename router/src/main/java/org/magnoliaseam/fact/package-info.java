/**
 * Holds the rules that decide whether received values are recent enough to be used. Each value has
 * a version and the local monotonic time of its last confirmation. A pause of the process makes all
 * earlier values stale.
 */
package org.magnoliaseam.fact;
