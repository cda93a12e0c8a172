/** Reads and writes HTTP/1.1 messages byte for byte, without an HTTP library between. */
package org.magnoliaseam.testbed.raw;
