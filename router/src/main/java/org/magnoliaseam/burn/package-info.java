/**
 * Holds the report on service-level burn: counts of requests that met or missed their targets, the
 * causes that burned the error budget, and the rendering of the report. This package opens no
 * connections; the package {@code route} collects the counts of the peers.
 */
package org.magnoliaseam.burn;
