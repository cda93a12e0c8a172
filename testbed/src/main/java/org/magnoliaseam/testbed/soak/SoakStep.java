package org.magnoliaseam.testbed.soak;

/**
 * Plans one fault or planned change.
 *
 * @param atMillis the time from the beginning of the soak
 * @param fault what is done
 * @param target the number of the process or server that it is done to
 * @param forMillis how long it lasts
 */
record SoakStep(long atMillis, SoakFault fault, int target, long forMillis) {}
