/**
 * Decides in which order requests wait for a backend server, when they are refused, and how much
 * work an engine gets at a time. All rules are pure: the caller passes in the time.
 */
package org.magnoliaseam.placement;
