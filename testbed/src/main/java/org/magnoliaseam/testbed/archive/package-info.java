/** Runs a router through its usual work, so that the class archive of a deployment covers it. */
package org.magnoliaseam.testbed.archive;
