/**
 * Holds the rules for backend servers that ask an entry VM to send them nothing for a time. Pure:
 * the time and random numbers come in as arguments.
 */
package org.magnoliaseam.pushback;
