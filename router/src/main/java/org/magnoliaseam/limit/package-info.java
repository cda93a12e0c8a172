/**
 * Decides whether a client account may open another request. The package reads no clock: callers
 * pass in the time.
 */
package org.magnoliaseam.limit;
