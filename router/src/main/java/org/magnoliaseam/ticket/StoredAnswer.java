package org.magnoliaseam.ticket;

import org.magnoliaseam.exchange.AnswerHead;

/**
 * Holds a complete answer that is sent again when a caller repeats the request with the same
 * ticket.
 *
 * @param head the status and header fields
 * @param body the body
 */
public record StoredAnswer(AnswerHead head, byte[] body) {}
