/** Holds the HTTP server and the JSON codec that the stand-ins share. */
package org.magnoliaseam.testbed.http;
