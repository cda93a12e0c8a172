/** Starts sites of real processes for integration tests and sends requests as callers do. */
package org.magnoliaseam.testbed.harness;
