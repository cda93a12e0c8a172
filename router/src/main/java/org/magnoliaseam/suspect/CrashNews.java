package org.magnoliaseam.suspect;

import java.util.List;

/**
 * Holds what one entry VM tells another about crashes of backend servers.
 *
 * @param crashes the requests that were unanswered at crashes
 * @param answers the marks of answered requests
 * @param survivors the hashes of starts of backend servers that have not crashed, though
 *     connections to them were lost
 */
public record CrashNews(
        List<CrashNotice> crashes, List<AnswerNotice> answers, List<Long> survivors) {

    /** No news. */
    public static final CrashNews NONE = new CrashNews(List.of(), List.of(), List.of());

    /**
     * Tells whether there are no news.
     *
     * @return true if there is no notice of any kind
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && answers.isEmpty() && survivors.isEmpty();
    }
}
