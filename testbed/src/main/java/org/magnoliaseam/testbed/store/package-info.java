/** Holds stand-ins for the metadata store and the backend servers of the users' platform. */
package org.magnoliaseam.testbed.store;
