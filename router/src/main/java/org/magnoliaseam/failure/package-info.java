/** Logs and counts the steps of the router that failed unexpectedly, and keeps others from them. */
package org.magnoliaseam.failure;
