package org.magnoliaseam.explain;

/**
 * Holds one event of a request.
 *
 * @param atMillis the time since arrival in milliseconds
 * @param kind what happened
 * @param subject the backend server, peer or error kind concerned; empty if none
 * @param detail one sentence without keys, prompts or answers
 */
public record RecordEvent(long atMillis, RecordEventKind kind, String subject, String detail) {}
