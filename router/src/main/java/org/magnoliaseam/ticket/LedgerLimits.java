package org.magnoliaseam.ticket;

/**
 * Limits the memory of a ticket ledger.
 *
 * @param maxTickets the maximum number of tickets kept
 * @param maxAnswerBytes the maximum size of one kept answer body, in bytes
 * @param maxTotalAnswerBytes the maximum size of all kept answer bodies together, in bytes
 * @param retentionMillis the time for which a ticket is kept after its expiry or the end of its
 *     request, whichever is later, in milliseconds
 */
public record LedgerLimits(
        int maxTickets, int maxAnswerBytes, long maxTotalAnswerBytes, long retentionMillis) {}
