/** Holds the clock that all code outside of start-up uses, so that tests can set the time. */
package org.magnoliaseam.time;
