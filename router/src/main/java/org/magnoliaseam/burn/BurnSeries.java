package org.magnoliaseam.burn;

import java.util.ArrayList;
import java.util.List;

/** Counts the requests of one key in all windows. Thread-safe. */
final class BurnSeries {

    /** One ring for each window, in the order of {@link BurnWindow}. */
    private final List<BurnRing> mRings = new ArrayList<>();

    /** Creates an empty series. */
    BurnSeries() {
        for (BurnWindow window : BurnWindow.values()) {
            mRings.add(new BurnRing(window));
        }
    }

    /**
     * Counts a request.
     *
     * @param bad whether it missed a target or was refused
     * @param nanos the time since counting started in nanoseconds
     */
    void add(boolean bad, long nanos) {
        mRings.forEach(ring -> ring.add(bad, nanos));
    }

    /**
     * Reads the sums of all windows.
     *
     * @param nanos the time since counting started in nanoseconds
     * @return the counts in the order of {@link BurnWindow}
     */
    List<BurnCount> windows(long nanos) {
        return mRings.stream()
                .map(ring -> ring.read(nanos).stream().reduce(BurnCount.NONE, BurnCount::plus))
                .toList();
    }

    /**
     * Reads the buckets of one window.
     *
     * @param window the window
     * @param nanos the time since counting started in nanoseconds
     * @return the counts of its buckets, oldest first
     */
    List<BurnCount> timeline(BurnWindow window, long nanos) {
        return mRings.get(window.ordinal()).read(nanos);
    }
}
