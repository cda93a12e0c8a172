/**
 * Estimates how long work takes at a backend server, relative to the usual time, from what the
 * server reports and from the measured times of its responses. All rules are pure: the caller
 * passes in the time.
 */
package org.magnoliaseam.speed;
