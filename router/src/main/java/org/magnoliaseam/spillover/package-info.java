/**
 * Decides how many requests of a service leave the failure domain of their entry VM, and where they
 * go. All rules are pure: the caller passes in the time.
 */
package org.magnoliaseam.spillover;
