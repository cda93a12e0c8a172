/**
 * Defines the error kinds, the response for each of them, and the type for results that are a value
 * or an error.
 */
package org.magnoliaseam.error;
