package org.magnoliaseam.testbed.soak;

import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Restores a copy of the store; operators and servers write again what was lost. */
final class StoreRestore implements AutoCloseable {

    /** The time for which the store is away before it comes back, in milliseconds. */
    private static final long AWAY_MILLIS = 300;

    /** The time until everything has been written again, in milliseconds. */
    private static final long REWRITE_MILLIS = 700;

    /** The time until entries that are not written any more expire, in milliseconds. */
    private static final long EXPIRY_MILLIS = 3600;

    /** The number of changes that are lost and not written again. */
    private static final int LOST_CHANGES = 50;

    /** The time in which entry VMs hear of these changes, in milliseconds. */
    private static final long HEARD_MILLIS = 500;

    /** The system. */
    private final SoakSite mSite;

    /** The store. */
    private final StoreStandIn mStore;

    /** The copy. */
    private final StoreStandIn.Copy mCopy;

    /**
     * Takes a copy.
     *
     * @param site the system
     * @param store the store
     */
    StoreRestore(SoakSite site, StoreStandIn store) {
        mSite = site;
        mStore = store;
        mCopy = store.copy();
    }

    @Override
    public void close() throws Exception {
        for (int i = 0; i < LOST_CHANGES; i++) {
            mStore.put("other/lost", Integer.toString(i));
        }
        TimeUnit.MILLISECONDS.sleep(HEARD_MILLIS);
        DisturbanceLog.Interval interval = mSite.storeDisturbances().begin();
        try (AutoCloseable down = mSite.storeDown()) {
            TimeUnit.MILLISECONDS.sleep(AWAY_MILLIS);
            mStore.restore(mCopy);
        }
        TimeUnit.MILLISECONDS.sleep(REWRITE_MILLIS);
        mSite.writeAgain();
        mSite.servers().forEach(SoakServer::writeAgain);
        interval.end();
        TimeUnit.MILLISECONDS.sleep(EXPIRY_MILLIS - REWRITE_MILLIS);
        mSite.servers().forEach(SoakServer::expireEarlier);
    }
}
