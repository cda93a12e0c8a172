/** Holds the stand-in for many backend servers at once, for measurements of control traffic. */
package org.magnoliaseam.testbed.capacity;
