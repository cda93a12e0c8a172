package org.magnoliaseam.exchange;

import java.util.List;

/**
 * Holds the status and header fields of a response.
 *
 * @param status the HTTP status
 * @param headers the header fields
 */
public record AnswerHead(int status, List<Header> headers) {}
