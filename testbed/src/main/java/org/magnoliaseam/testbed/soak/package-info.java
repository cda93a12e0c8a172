/** Runs real entry VM processes under seeded random faults and checks the guarantees. */
package org.magnoliaseam.testbed.soak;
