/**
 * Permits that entry VMs ask of each other before they send a prompt to a model engine. For each
 * engine one entry VM, its home, counts the prompts that wait there, so that a decision rests on
 * the load of this moment and not on the last digest. Permits are soft state: without an answer a
 * prompt is sent on the sender's own estimate.
 */
package org.magnoliaseam.permit;
