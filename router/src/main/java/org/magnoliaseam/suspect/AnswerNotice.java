package org.magnoliaseam.suspect;

/**
 * Tells the other entry VMs that a request with a mark was answered without a crash.
 *
 * @param mark the mark
 * @param ageMillis the time since the answer in milliseconds
 */
public record AnswerNotice(RequestMark mark, long ageMillis) {}
