/** Soaks real entry VM processes in seeded random faults and checks the promises meanwhile. */
package org.magnoliaseam.testbed.soak;
