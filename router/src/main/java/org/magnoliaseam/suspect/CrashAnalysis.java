package org.magnoliaseam.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds what explains crashes of backend servers. A mark is a candidate at a crash if a request
 * with it was unanswered there and none is known to have been answered. Crashes count towards a
 * mark if a request with it was sent after the crash counted before; servers that end at the same
 * moment, as when a failure domain loses power, thus count once. Crashes that one cause explains do
 * not count towards other marks.
 */
final class CrashAnalysis {

    /** The crashes after which a prompt part without any answer is a cause. */
    private static final int PART_CRASHES = 2;

    /** The crashes after which a whole request is a cause, and equal candidates are. */
    private static final int CERTAIN_CRASHES = 3;

    /** The crashes. */
    private final List<Crash> mCrashes;

    /** The marks of the unanswered requests. */
    private final Set<RequestMark> mMarks = new HashSet<>();

    /** The crashes that the causes so far explain. */
    private final Set<Crash> mExplained = new HashSet<>();

    /** The causes. */
    private final List<CrashCause> mCauses = new ArrayList<>();

    /** The marks that requests must not have to run beside others. */
    private final Set<RequestMark> mGuarded = new HashSet<>();

    /**
     * Analyses crashes.
     *
     * @param crashes the crashes
     */
    CrashAnalysis(Collection<Crash> crashes) {
        mCrashes = new ArrayList<>(crashes);
        mCrashes.sort((a, b) -> Long.signum(a.nanos() - b.nanos()));
        mCrashes.forEach(crash -> crash.requests().forEach(mMarks::addAll));
        for (Optional<RequestMark> next = next(); next.isPresent(); next = next()) {
            addCause(next.get());
        }
        for (RequestMark mark : mMarks) {
            if (count(mark, true) >= crashesToCause(mark) - 1) {
                mGuarded.add(mark);
            }
        }
    }

    /**
     * Returns the causes.
     *
     * @return the causes, the most certain first
     */
    List<CrashCause> causes() {
        return mCauses;
    }

    /**
     * Tells whether a request with a mark must not run beside others that are guarded.
     *
     * @param mark the mark
     * @return true if one more crash would make it a cause, or if it is part of one
     */
    boolean isGuarded(RequestMark mark) {
        return mGuarded.contains(mark);
    }

    /**
     * Selects the mark that explains the most crashes of those that have enough.
     *
     * @return the mark; empty if none has
     */
    private Optional<RequestMark> next() {
        return mMarks.stream()
                .filter(mark -> count(mark, true) >= crashesToCause(mark))
                .filter(mark -> count(mark, true) >= CERTAIN_CRASHES || !hasEqual(mark))
                .min(
                        Comparator.comparing(RequestMark::isWholeRequest)
                                .thenComparing(mark -> -count(mark, true))
                                .thenComparing(RequestMark::value));
    }

    /**
     * Adds the cause that a mark stands for.
     *
     * @param mark the mark
     */
    private void addCause(RequestMark mark) {
        List<Crash> crashes = with(mark, false);
        Set<Long> servers = new HashSet<>();
        crashes.forEach(crash -> servers.add(crash.server()));
        Set<RequestMark> marks = common(mark);
        mCauses.add(new CrashCause(Set.copyOf(marks), servers, count(mark, false)));
        mExplained.addAll(crashes);
        mGuarded.addAll(marks);
    }

    /**
     * Returns the number of crashes that make a mark a cause.
     *
     * @param mark the mark
     * @return the number
     */
    private int crashesToCause(RequestMark mark) {
        return mark.isWholeRequest() ? CERTAIN_CRASHES : PART_CRASHES;
    }

    /**
     * Tells whether a mark of other requests explains the same crashes.
     *
     * @param mark the mark
     * @return true if the crashes do not tell the two apart
     */
    private boolean hasEqual(RequestMark mark) {
        List<Crash> crashes = with(mark, true);
        Set<RequestMark> common = common(mark);
        return mMarks.stream()
                .filter(other -> !common.contains(other))
                .anyMatch(other -> new HashSet<>(with(other, true)).containsAll(crashes));
    }

    /**
     * Returns the marks that all unanswered requests with a mark have.
     *
     * @param mark the mark
     * @return the marks, with the given one
     */
    private Set<RequestMark> common(RequestMark mark) {
        Set<RequestMark> common = new HashSet<>(mMarks);
        for (Crash crash : mCrashes) {
            for (Set<RequestMark> marks : crash.requests()) {
                if (marks.contains(mark)) {
                    common.retainAll(marks);
                }
            }
        }
        return common;
    }

    /**
     * Counts the crashes with a mark, each by a request that was sent after the one before.
     *
     * @param mark the mark
     * @param unexplained whether to leave out crashes that a cause explains
     * @return the number of crashes
     */
    private int count(RequestMark mark, boolean unexplained) {
        int count = 0;
        long last = 0;
        for (Crash crash : with(mark, unexplained)) {
            long sent = crash.sentNanos(mark).orElseThrow();
            if (count == 0 || sent - last >= 0) {
                count++;
                last = crash.nanos();
            }
        }
        return count;
    }

    /**
     * Returns the crashes at which a request with a mark was unanswered.
     *
     * @param mark the mark
     * @param unexplained whether to leave out crashes that a cause explains
     * @return the crashes, the earliest first
     */
    private List<Crash> with(RequestMark mark, boolean unexplained) {
        return mCrashes.stream()
                .filter(crash -> crash.sentNanos(mark).isPresent())
                .filter(crash -> !unexplained || !mExplained.contains(crash))
                .toList();
    }
}
