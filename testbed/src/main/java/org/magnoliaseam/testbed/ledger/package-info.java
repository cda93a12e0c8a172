/** Holds the stand-in for a plain service whose orders must not be repeated. */
package org.magnoliaseam.testbed.ledger;
