package org.magnoliaseam.suspect;

import java.util.Set;

/**
 * Tells the other entry VMs of a request that was unanswered when a backend server crashed. Ages
 * are used since the clocks of entry VMs differ.
 *
 * @param server the hash of the start of the backend server
 * @param domain the hash of the failure domain of the backend server
 * @param crashAgeMillis the time since the crash in milliseconds
 * @param sentAgeMillis the time since the request was sent in milliseconds
 * @param useAgeMillis the time since the notice last had a request refused, or since the crash, in
 *     milliseconds
 * @param triedAgeMillis the time since a request was last tried though it was refused, or since the
 *     crash, in milliseconds
 * @param marks the marks of the request that no answered request has had since
 * @param lasted those of these marks with which an answer has gone on for some time
 */
public record CrashNotice(
        long server,
        long domain,
        long crashAgeMillis,
        long sentAgeMillis,
        long useAgeMillis,
        long triedAgeMillis,
        Set<RequestMark> marks,
        Set<RequestMark> lasted) {}
