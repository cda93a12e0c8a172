/** Holds the loaders that turn TOML text into validated settings. */
package org.magnoliaseam.settings.load;
