/** Holds the typed settings of a process and of a site, their TOML form and the checks on them. */
package org.magnoliaseam.settings;
