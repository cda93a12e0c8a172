/**
 * Defines the value types that all packages share: identifiers, tiers and kinds. The types are
 * immutable and use no threads, clocks or network connections.
 */
package org.magnoliaseam.model;
