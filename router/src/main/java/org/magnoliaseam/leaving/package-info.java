/**
 * Holds the rules that decide whether a backend server or an entry VM gets new work, and the phases
 * of a graceful shutdown. Operators, the platform, or the server or VM itself can take it out of
 * service.
 */
package org.magnoliaseam.leaving;
