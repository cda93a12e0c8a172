/** Implements the command line, with one class for each command and a table of all commands. */
package org.magnoliaseam.cli;
