package org.magnoliaseam.suspect;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds what explains crashes of backend servers. A mark is a candidate at a crash if a request
 * with it was unanswered there and none is known to have been answered. Crashes count towards a
 * mark if a request with it was sent after the crash counted before; servers that end at the same
 * moment, as when a failure domain loses power, thus count once; but copies of a whole request that
 * end servers of several failure domains at one moment count once for each. Crashes that one cause
 * explains do not count towards other marks.
 *
 * <p>A mark has lasted if an answer to a request with it has gone on for some time. Long sound
 * answers are in progress at many crashes, so such marks need more crashes.
 */
final class CrashAnalysis {

    /** The crashes after which a prompt part that has not lasted is a cause. */
    private static final int PART_CRASHES = 2;

    /** The crashes after which a whole request is a cause, and equal candidates are. */
    private static final int CERTAIN_CRASHES = 3;

    /** The crashes after which a mark that has lasted is a cause. */
    private static final int LASTED_CRASHES = 4;

    /** Tells whether a mark has lasted. */
    private final Predicate<RequestMark> mLasted;

    /** The crashes, the earliest first. */
    private final List<Crash> mCrashes;

    /** The marks of the unanswered requests, with the crashes at which they were unanswered. */
    private final Map<RequestMark, MarkedRequests> mMarks = new HashMap<>();

    /** The marks of the unanswered requests at each crash, in the order of the crashes. */
    private final List<Set<RequestMark>> mMarksAt = new ArrayList<>();

    /** The positions of the crashes that the causes so far explain. */
    private final BitSet mExplained = new BitSet();

    /** The causes. */
    private final List<CrashCause> mCauses = new ArrayList<>();

    /** The marks that requests must not have to run beside others. */
    private final Set<RequestMark> mGuarded = new HashSet<>();

    /**
     * Analyses crashes.
     *
     * @param crashes the crashes
     * @param lasted tells whether a mark has lasted
     */
    CrashAnalysis(Collection<Crash> crashes, Predicate<RequestMark> lasted) {
        mLasted = lasted;
        mCrashes = new ArrayList<>(crashes);
        mCrashes.sort((a, b) -> Long.signum(a.nanos() - b.nanos()));
        for (int i = 0; i < mCrashes.size(); i++) {
            index(i);
        }
        for (Optional<RequestMark> next = next(); next.isPresent(); next = next()) {
            addCause(next.get());
        }
        for (RequestMark mark : mMarks.keySet()) {
            if (hasCrashes(mark, crashesToCause(mark) - 1)) {
                mGuarded.add(mark);
            }
        }
    }

    /** Holds the unanswered requests with a mark. */
    private static final class MarkedRequests {

        /** The positions of the crashes. */
        private final BitSet mCrashes = new BitSet();

        /** The latest time at which a request was sent, by the position of its crash. */
        private final Map<Integer, Long> mSentNanos = new HashMap<>();

        /** The marks that all these requests have. */
        private Set<RequestMark> mCommon;

        /**
         * Adds a request.
         *
         * @param crash the position of its crash
         * @param sentNanos the local monotonic time at which it was sent
         * @param marks its marks
         */
        void add(int crash, long sentNanos, Set<RequestMark> marks) {
            mCrashes.set(crash);
            mSentNanos.merge(crash, sentNanos, (a, b) -> b - a > 0 ? b : a);
            if (mCommon == null) {
                mCommon = new HashSet<>(marks);
            } else {
                mCommon.retainAll(marks);
            }
        }
    }

    /**
     * Adds the unanswered requests of a crash to those of their marks.
     *
     * @param crash the position of the crash
     */
    private void index(int crash) {
        Set<RequestMark> all = new HashSet<>();
        for (Set<RequestMark> marks : mCrashes.get(crash).requests()) {
            long sent = mCrashes.get(crash).sentNanos(marks);
            for (RequestMark mark : marks) {
                mMarks.computeIfAbsent(mark, key -> new MarkedRequests()).add(crash, sent, marks);
            }
            all.addAll(marks);
        }
        mMarksAt.add(all);
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
     * Selects the mark that explains the most crashes of those that have enough. One that has not
     * lasted comes first, since an answer in progress is found at a crash more often by chance.
     *
     * @return the mark; empty if none has
     */
    private Optional<RequestMark> next() {
        return mMarks.keySet().stream()
                .filter(mark -> hasCrashes(mark, crashesToCause(mark)))
                .filter(mark -> count(mark, true) >= CERTAIN_CRASHES || !hasEqual(mark))
                .min(
                        Comparator.comparing(mLasted::test)
                                .thenComparing(RequestMark::isWholeRequest)
                                .thenComparing(mark -> -count(mark, true))
                                .thenComparing(RequestMark::value));
    }

    /**
     * Adds the cause that a mark stands for.
     *
     * @param mark the mark
     */
    private void addCause(RequestMark mark) {
        MarkedRequests requests = mMarks.get(mark);
        Set<Long> servers = new HashSet<>();
        requests.mCrashes.stream().forEach(crash -> servers.add(mCrashes.get(crash).server()));
        int crashes = count(mark, false);
        int further = Math.max(0, crashes - Math.max(CERTAIN_CRASHES, crashesToCause(mark)));
        mCauses.add(new CrashCause(Set.copyOf(requests.mCommon), servers, crashes, further));
        mExplained.or(requests.mCrashes);
        mGuarded.addAll(requests.mCommon);
    }

    /**
     * Returns the number of crashes that make a mark a cause.
     *
     * @param mark the mark
     * @return the number
     */
    private int crashesToCause(RequestMark mark) {
        if (mLasted.test(mark)) {
            return LASTED_CRASHES;
        }
        return mark.isWholeRequest() ? CERTAIN_CRASHES : PART_CRASHES;
    }

    /**
     * Tells whether enough crashes count towards a mark.
     *
     * @param mark the mark
     * @param crashes the number of crashes
     * @return true if so many count that no cause explains
     */
    private boolean hasCrashes(RequestMark mark, int crashes) {
        return mMarks.get(mark).mCrashes.cardinality() >= crashes && count(mark, true) >= crashes;
    }

    /**
     * Tells whether a mark of other requests, which has not lasted, explains the same crashes.
     *
     * @param mark a mark with crashes that no cause explains
     * @return true if the crashes do not tell the two apart
     */
    private boolean hasEqual(RequestMark mark) {
        MarkedRequests requests = mMarks.get(mark);
        BitSet crashes = unexplained(requests);
        return mMarksAt.get(crashes.nextSetBit(0)).stream()
                .filter(other -> !requests.mCommon.contains(other) && !mLasted.test(other))
                .anyMatch(other -> containsAll(mMarks.get(other).mCrashes, crashes));
    }

    /**
     * Tells whether a set contains all elements of another one.
     *
     * @param set the set
     * @param others the elements
     * @return true if it does
     */
    private static boolean containsAll(BitSet set, BitSet others) {
        BitSet missing = (BitSet) others.clone();
        missing.andNot(set);
        return missing.isEmpty();
    }

    /**
     * Returns the crashes that no cause explains.
     *
     * @param requests the requests with a mark
     * @return the positions of their crashes
     */
    private BitSet unexplained(MarkedRequests requests) {
        BitSet crashes = (BitSet) requests.mCrashes.clone();
        crashes.andNot(mExplained);
        return crashes;
    }

    /**
     * Counts the crashes with a mark, each by a request that was sent after the one before, or by a
     * copy of it in another failure domain.
     *
     * @param mark the mark
     * @param unexplained whether to leave out crashes that a cause explains
     * @return the number of crashes
     */
    private int count(RequestMark mark, boolean unexplained) {
        MarkedRequests requests = mMarks.get(mark);
        BitSet crashes = unexplained ? unexplained(requests) : requests.mCrashes;
        int count = 0;
        long last = 0;
        Set<Long> domains = new HashSet<>();
        for (int i = crashes.nextSetBit(0); i >= 0; i = crashes.nextSetBit(i + 1)) {
            Crash crash = mCrashes.get(i);
            if (count == 0 || requests.mSentNanos.get(i) - last >= 0) {
                count++;
                last = crash.nanos();
                domains.clear();
                domains.add(crash.domain());
            } else if (mark.isWholeRequest() && domains.add(crash.domain())) {
                count++;
            }
        }
        return count;
    }
}
