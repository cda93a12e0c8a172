package org.magnoliaseam.suspect;

import java.util.Collection;
import java.util.Set;

/**
 * Holds what explains crashes of backend servers. Requests that have all marks of a cause are
 * refused; one that has some of them may be sound.
 *
 * @param marks the marks that all requests had which were unanswered at these crashes and may have
 *     caused them
 * @param servers the hashes of the starts of the backend servers that crashed
 * @param crashes the crashes that count: those by requests that were sent after the one before
 * @param furtherCrashes those of them that came after the cause was certain
 */
public record CrashCause(
        Set<RequestMark> marks, Set<Long> servers, int crashes, int furtherCrashes) {

    /**
     * Tells whether a request has all marks of the cause.
     *
     * @param requestMarks the marks of the request
     * @return true if the request is expected to crash a backend server
     */
    public boolean matches(Collection<RequestMark> requestMarks) {
        return requestMarks.containsAll(marks);
    }
}
