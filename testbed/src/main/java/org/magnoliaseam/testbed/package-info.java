/**
 * Holds the stand-ins for outside systems and the tools that drive tests; none of it is shipped.
 */
package org.magnoliaseam.testbed;
