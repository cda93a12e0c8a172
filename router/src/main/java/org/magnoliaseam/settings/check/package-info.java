/** Checks a whole configuration, with one class for each check. */
package org.magnoliaseam.settings.check;
