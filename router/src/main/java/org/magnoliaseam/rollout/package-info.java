/**
 * Holds the rules by which a configuration comes into force: the highest valid version is used and
 * never replaced by a lower one, a process compares its version with its peers before it serves,
 * and reads of the platform are rare and spread over time.
 */
package org.magnoliaseam.rollout;
