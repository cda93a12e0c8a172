/** Parses TOML documents into trees whose nodes record their file and line. */
package org.magnoliaseam.settings.toml;
