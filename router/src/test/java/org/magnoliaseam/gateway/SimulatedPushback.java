package org.magnoliaseam.gateway;

import java.util.HashMap;
import java.util.Map;

/** Refuses requests at a simulated engine and counts those that it has asked not to get. */
final class SimulatedPushback {

    /** The time after a refusal in which requests may still be on their way. */
    private static final long ON_THE_WAY_NANOS = 500 * GatewayFixtures.MILLI;

    private final long mMillis;

    private final Map<Integer, Long> mToldNanos = new HashMap<>();

    private final Map<Integer, Integer> mUnwanted = new HashMap<>();

    private int mMostUnwanted;

    SimulatedPushback(long millis) {
        mMillis = millis;
    }

    /** Counts a request of an entry VM. */
    void arrived(int vm, long nowNanos) {
        Long told = mToldNanos.get(vm);
        if (told == null || nowNanos - told >= mMillis * GatewayFixtures.MILLI) {
            mToldNanos.put(vm, nowNanos);
            mUnwanted.put(vm, 0);
        } else if (nowNanos - told >= ON_THE_WAY_NANOS) {
            mMostUnwanted = Math.max(mMostUnwanted, mUnwanted.merge(vm, 1, Integer::sum));
        }
    }

    /** States the time in the refusal of an attempt. */
    void tell(AttemptListener listener) {
        listener.pushback(mMillis);
    }

    /** Returns the largest number of unwanted requests of one entry VM within one time. */
    int mostUnwanted() {
        return mMostUnwanted;
    }
}
