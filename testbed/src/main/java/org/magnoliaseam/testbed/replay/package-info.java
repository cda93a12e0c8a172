/** Replays recorded traces against entry VMs and compares the outcomes with their targets. */
package org.magnoliaseam.testbed.replay;
