package org.magnoliaseam.testbed.platform;

import java.util.Locale;

/**
 * Describes how the platform answers readers.
 *
 * @param kind the kind of the mode
 * @param sinceMillis the time at which the mode began in milliseconds since the epoch
 * @param lagMillis the lag of a lagging platform in milliseconds
 */
public record PlatformMode(Kind kind, long sinceMillis, long lagMillis) {

    /** The mode without faults. */
    public static final PlatformMode NORMAL = new PlatformMode(Kind.NORMAL, 0, 0);

    /**
     * Parses the name of a mode.
     *
     * @param name the name in lower case
     * @param nowMillis the time at which the mode begins in milliseconds since the epoch
     * @param lagMillis the lag of a lagging platform in milliseconds
     * @return the mode
     * @throws IllegalArgumentException if the name is unknown
     */
    public static PlatformMode of(String name, long nowMillis, long lagMillis) {
        return new PlatformMode(Kind.valueOf(name.toUpperCase(Locale.ROOT)), nowMillis, lagMillis);
    }

    /**
     * Returns the time up to which published values are visible.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the time in milliseconds since the epoch
     */
    public long shownMillis(long nowMillis) {
        return kind.shownMillis(this, nowMillis);
    }

    /** Lists the kinds of modes. */
    public enum Kind {
        /** Readers see the last value. */
        NORMAL {
            @Override
            long shownMillis(PlatformMode mode, long nowMillis) {
                return nowMillis;
            }
        },
        /** Connections are closed without an answer. */
        DOWN {
            @Override
            long shownMillis(PlatformMode mode, long nowMillis) {
                return nowMillis;
            }
        },
        /** Readers see only values that were published before the mode began. */
        STALE {
            @Override
            long shownMillis(PlatformMode mode, long nowMillis) {
                return mode.sinceMillis();
            }
        },
        /** Readers see each value after the lag. */
        LAGGING {
            @Override
            long shownMillis(PlatformMode mode, long nowMillis) {
                return nowMillis - mode.lagMillis();
            }
        };

        /**
         * Returns the time up to which published values are visible.
         *
         * @param mode the mode
         * @param nowMillis the current time in milliseconds since the epoch
         * @return the time in milliseconds since the epoch
         */
        abstract long shownMillis(PlatformMode mode, long nowMillis);
    }
}
