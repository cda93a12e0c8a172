/**
 * Relays the response of a backend server to the caller: checks that it belongs to the request,
 * counts its tokens and detects an incomplete response.
 */
package org.magnoliaseam.relay;
