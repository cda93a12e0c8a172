/** Stands in for the users' platform: its metadata store and its backend servers. */
package org.magnoliaseam.testbed.store;
