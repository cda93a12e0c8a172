/**
 * Detects requests that crash the backend servers that run them, notifies the peers, and refuses
 * such requests for a period.
 */
package org.magnoliaseam.suspect;
