package org.magnoliaseam.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.fleet.SuspectNotice;

/**
 * Keeps the requests that were running when backend servers crashed, as seen by this entry VM and
 * reported by peers. Not thread-safe.
 */
public final class CrashSuspects {

    /** The number of crashes from which a request is refused. */
    public static final int REFUSED_CRASHES = 2;

    /** The maximum number of requests kept; the one that changed longest ago is removed first. */
    public static final int MAX_SUSPECTS = 512;

    /** The maximum number of notices in one heartbeat. */
    public static final int MAX_NOTICES = 32;

    /** The maximum expected delay of a notice, in milliseconds. */
    public static final long NOTICE_DELAY_MILLIS = 1000;

    /** The minimum remaining period of refusal for which a notice is accepted, in milliseconds. */
    private static final long MIN_REMAINING_MILLIS = 5000;

    /** The maximum expected delay of a notice, in nanoseconds. */
    private static final long NOTICE_DELAY_NANOS =
            TimeUnit.MILLISECONDS.toNanos(NOTICE_DELAY_MILLIS);

    /**
     * Holds the crash history of a request.
     *
     * @param crashes the number of crashes during which the request ran; 0 if it has completed
     *     since
     * @param sinceNanos the local monotonic time of the last crash or of the completion
     */
    private record Suspect(int crashes, long sinceNanos) {}

    /** The requests by fingerprint, the most recently changed one last. */
    private final Map<Fingerprint, Suspect> mSuspects = new LinkedHashMap<>();

    /**
     * Records the crash of a backend server.
     *
     * @param running the requests of this entry VM that were running on the server, without
     *     duplicates
     * @param nowNanos the local monotonic time
     */
    public void crashed(Collection<Fingerprint> running, long nowNanos) {
        for (Fingerprint fingerprint : running) {
            Suspect known = mSuspects.get(fingerprint);
            int crashes = known == null ? 0 : known.crashes();
            put(fingerprint, new Suspect(crashes + 1, nowNanos));
        }
    }

    /**
     * Records the completion of a request, which resets its number of crashes.
     *
     * @param fingerprint the request
     * @param nowNanos the local monotonic time
     */
    public void completed(Fingerprint fingerprint, long nowNanos) {
        Suspect known = mSuspects.get(fingerprint);
        if (known != null && known.crashes() > 0) {
            put(fingerprint, new Suspect(0, nowNanos));
        }
    }

    /**
     * Merges the notices of a peer. The higher number of crashes takes precedence; a completion
     * clears only crashes that certainly happened before it. Notices carry ages, so the clock of
     * the peer is not used.
     *
     * @param notices the notices
     * @param ttlMillis the period for which a request is refused, in milliseconds
     * @param nowNanos the local monotonic time
     */
    public void heard(List<SuspectNotice> notices, long ttlMillis, long nowNanos) {
        for (SuspectNotice notice : notices) {
            if (notice.ageMillis() + MIN_REMAINING_MILLIS <= ttlMillis) {
                merge(notice, nowNanos);
            }
        }
    }

    /**
     * Returns the notices to send to the peers, the most recently changed first.
     *
     * @param ttlMillis the period for which a request is refused, in milliseconds
     * @param nowNanos the local monotonic time
     * @return at most {@link #MAX_NOTICES} notices
     */
    public List<SuspectNotice> notices(long ttlMillis, long nowNanos) {
        List<SuspectNotice> notices = new ArrayList<>();
        mSuspects.forEach(
                (fingerprint, suspect) -> {
                    long age = ageMillis(suspect, nowNanos);
                    if (age <= ttlMillis) {
                        notices.add(
                                0, new SuspectNotice(fingerprint.value(), suspect.crashes(), age));
                    }
                });
        return List.copyOf(notices.subList(0, Math.min(MAX_NOTICES, notices.size())));
    }

    /**
     * Decides how a request is treated. After the period of refusal the request is guarded for
     * another period of the same length, so that it crashes at most one more server.
     *
     * @param fingerprint the request
     * @param ttlMillis the period for which a request is refused, in milliseconds
     * @param nowNanos the local monotonic time
     * @return the decision
     */
    public SuspectVerdict verdict(Fingerprint fingerprint, long ttlMillis, long nowNanos) {
        Suspect suspect = mSuspects.get(fingerprint);
        if (suspect == null || suspect.crashes() == 0) {
            return SuspectVerdict.FREE;
        }
        long age = ageMillis(suspect, nowNanos);
        boolean refused = suspect.crashes() >= REFUSED_CRASHES;
        if (refused && age <= ttlMillis) {
            return SuspectVerdict.REFUSED;
        }
        if (age <= (refused ? 2 * ttlMillis : ttlMillis)) {
            return SuspectVerdict.GUARDED;
        }
        mSuspects.remove(fingerprint);
        return SuspectVerdict.FREE;
    }

    /**
     * Merges one notice.
     *
     * @param notice the notice
     * @param nowNanos the local monotonic time
     */
    private void merge(SuspectNotice notice, long nowNanos) {
        Fingerprint fingerprint = new Fingerprint(notice.fingerprint());
        Suspect known = mSuspects.get(fingerprint);
        long sinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(notice.ageMillis());
        if (notice.crashes() == 0) {
            long earliestNanos = sinceNanos - NOTICE_DELAY_NANOS;
            if (known != null && known.crashes() > 0 && known.sinceNanos() - earliestNanos < 0) {
                put(fingerprint, new Suspect(0, earliestNanos));
            }
        } else if (known == null || known.crashes() == 0) {
            if (known == null || sinceNanos - NOTICE_DELAY_NANOS - known.sinceNanos() > 0) {
                put(fingerprint, new Suspect(notice.crashes(), sinceNanos));
            }
        } else if (notice.crashes() > known.crashes()) {
            put(fingerprint, new Suspect(notice.crashes(), sinceNanos));
        }
    }

    /**
     * Stores the crash history of a request as the most recent change.
     *
     * @param fingerprint the request
     * @param suspect the crash history
     */
    private void put(Fingerprint fingerprint, Suspect suspect) {
        mSuspects.remove(fingerprint);
        if (mSuspects.size() >= MAX_SUSPECTS) {
            mSuspects.remove(mSuspects.keySet().iterator().next());
        }
        mSuspects.put(fingerprint, suspect);
    }

    /**
     * Computes the time since the last crash or completion of a request.
     *
     * @param suspect the crash history
     * @param nowNanos the local monotonic time
     * @return the age in milliseconds
     */
    private static long ageMillis(Suspect suspect, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - suspect.sinceNanos());
    }
}
