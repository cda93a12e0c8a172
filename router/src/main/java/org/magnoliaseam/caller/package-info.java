/**
 * Communicates with callers: the HTTP server, authentication, parsing of requests, and rendering of
 * responses.
 */
package org.magnoliaseam.caller;
