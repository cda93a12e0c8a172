package org.magnoliaseam.testbed.soak;

/**
 * Plans one fault or planned change.
 *
 * @param atMillis the time from the beginning of the faults in milliseconds
 * @param fault the fault
 * @param target the number of the process or server that it affects
 * @param forMillis its duration in milliseconds
 */
record SoakStep(long atMillis, SoakFault fault, int target, long forMillis) {}
