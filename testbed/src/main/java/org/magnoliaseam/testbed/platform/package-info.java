/** Holds the stand-in for the platform: configuration service and VM list. */
package org.magnoliaseam.testbed.platform;
