package org.magnoliaseam.fleet;

/**
 * States how many requests of a class an entry VM could start now without queueing.
 *
 * @param classKey the short key of the request class
 * @param freeSlots the number of free slots on the backend servers that may run the class
 */
public record ClassFreeSlots(int classKey, int freeSlots) {}
