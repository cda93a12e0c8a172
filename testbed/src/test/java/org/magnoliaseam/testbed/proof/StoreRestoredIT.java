package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.raw.RawServer;
import org.magnoliaseam.testbed.store.StoreStandIn;

/** Tests that the router follows a store that comes back from an older copy. */
class StoreRestoredIT {

    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

    private static final String FIRST = RawSite.route("sound", "/first/", "safe", 3000, 2);

    private static final String LOST = RawSite.route("sound", "/lost/", "safe", 3000, 2);

    private static final String LATER = RawSite.route("sound", "/later/", "safe", 3000, 2);

    /** The number of changes that the copy lacks. */
    private static final int CHANGES = 20;

    @TempDir private Path mFolder;

    private RawSite mSite;

    private RawServer mServer;

    private StoreStandIn.Copy mCopy;

    private int mIds;

    @BeforeEach
    void start() throws Exception {
        mServer = new RawServer();
        mSite = new RawSite(mFolder, "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1");
        mSite.server("i-1", "sound", mServer);
        mSite.configure(FIRST);
        mSite.start();
        awaitServed("/first/");
        mCopy = mSite.store().copy();
    }

    @AfterEach
    void stop() throws Exception {
        mSite.close();
        mServer.close();
    }

    private int status(String path) throws IOException {
        return mSite.call("GET", path, "r-" + ++mIds, "").status();
    }

    private void awaitServed(String path) {
        await().atMost(CONTACT_LIMIT).until(() -> status(path) == 200);
    }

    private void change(int times) {
        for (int i = 0; i < times; i++) {
            mSite.store().put("other/key", Integer.toString(i));
        }
    }

    @Test
    void changeAfterTheRestoreIsInForceInTime() {
        mSite.configure(FIRST, LOST);
        change(CHANGES);
        awaitServed("/lost/");
        mSite.store().restore(mCopy);
        mSite.configure(FIRST, LATER);
        awaitServed("/later/");
    }

    /** The store has passed the revision that is known here before it answers again. */
    @Test
    void changeWhoseRevisionWasGivenOutBeforeIsInForceInTime() throws Exception {
        mSite.configure(FIRST, LOST);
        change(CHANGES);
        awaitServed("/lost/");
        mSite.store().server().suspend();
        mSite.store().restore(mCopy);
        mSite.configure(FIRST, LATER);
        change(2 * CHANGES);
        mSite.store().server().resume();
        awaitServed("/later/");
    }

    @Test
    void routeOfALostConfigurationIsNotRefusedAsUnknown() throws Exception {
        mSite.store().server().suspend();
        mSite.configure(FIRST, LOST);
        mSite.store().restore(mCopy);
        mSite.store().server().resume();
        await().atMost(CONTACT_LIMIT).until(() -> status("/lost/") == 503);
        long end = System.nanoTime() + CONTACT_LIMIT.toNanos();
        while (System.nanoTime() < end) {
            assertThat(status("/lost/")).isEqualTo(503);
            assertThat(status("/first/")).isEqualTo(200);
        }
        mSite.configure(FIRST, LOST);
        awaitServed("/lost/");
    }
}
