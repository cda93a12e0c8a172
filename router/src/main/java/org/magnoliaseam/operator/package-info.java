/** Implements the HTTP handler of the operators' port and its pages. */
package org.magnoliaseam.operator;
