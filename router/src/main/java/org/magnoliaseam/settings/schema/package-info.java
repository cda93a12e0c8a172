/**
 * Defines the keys of the settings files: their types, their defaults and the files that may set
 * them.
 */
package org.magnoliaseam.settings.schema;
