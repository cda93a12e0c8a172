/**
 * Builds and keeps the decision record of each request, and converts it to JSON and to text for
 * operators.
 */
package org.magnoliaseam.explain;
