/**
 * Decides whether, when and where a request runs, with queues, tiers, guaranteed shares, placement,
 * preemption and hand-over to peers. The package does no I/O and reads no clock: callers pass in
 * the time and the state of the fleet, and carry out the decisions that it returns.
 */
package org.magnoliaseam.dispatch;
