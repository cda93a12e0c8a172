package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.raw.RawServer;

/** Tests that no request runs with a key that the configuration in force does not hold. */
class KeysTakenAwayIT {

    private static final Duration IN_FORCE = Duration.ofSeconds(2);

    private static final String OPTIONS = "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

    private static final String WITH_KEY = "[{\"name\":\"school\",\"api_keys\":[\"key-1\"]}]";

    private static final String WITHOUT_KEY = "[{\"name\":\"school\",\"api_keys\":[]}]";

    private static final String WITHOUT_FIELD = "[{\"name\":\"school\"}]";

    private static final String NO_ACCOUNT = "[]";

    @TempDir private Path mFolder;

    private RawSite mSite;

    private RawServer mServer;

    private int mIds;

    @BeforeEach
    void start() throws Exception {
        mServer = new RawServer();
        mSite = new RawSite(mFolder, OPTIONS);
        mSite.server("i-sound", "sound", mServer);
        configure(WITH_KEY);
        mSite.start();
        awaitStatus("key-1", 200);
    }

    @AfterEach
    void stop() throws Exception {
        mSite.close();
        mServer.close();
    }

    private void configure(String accounts) {
        mSite.configureAccounts(accounts, RawSite.route("sound", "/a/", "unsafe", 3000, 1));
    }

    private String request(String key) {
        String head = RawSite.head("POST", "/a/", "r-" + ++mIds, 0);
        String field = "Authorization: Bearer " + key + "\r\n\r\n";
        return head.substring(0, head.length() - 2) + field;
    }

    private int status(Socket socket, String key) throws IOException {
        RawSite.write(socket, request(key));
        return RawSite.read(socket).status();
    }

    private int status(String key) throws IOException {
        try (Socket socket = mSite.connect()) {
            return status(socket, key);
        }
    }

    private void awaitStatus(String key, int status) {
        await().atMost(IN_FORCE).until(() -> status(key) == status);
    }

    private void assertNothingRuns() throws IOException {
        mServer.requests().clear();
        assertThat(status("key-1")).isEqualTo(401);
        assertThat(status("never-published")).isEqualTo(401);
        assertThat(mServer.requests()).isEmpty();
    }

    /** Guards against connections that keep the keys of the configuration they were opened in. */
    @Test
    void openConnectionLosesItsKey() throws IOException {
        try (Socket socket = mSite.connect()) {
            assertThat(status(socket, "key-1")).isEqualTo(200);
            configure(WITHOUT_KEY);
            awaitStatus("key-1", 401);
            mServer.requests().clear();
            assertThat(status(socket, "never-published")).isEqualTo(401);
            assertThat(status(socket, "key-1")).isEqualTo(401);
            assertThat(mServer.requests()).isEmpty();
        }
    }

    /** Guards against a state of the accounts that opens the routes, in each order of changes. */
    @Test
    void keysComeAndGo() throws IOException {
        for (String accounts : new String[] {WITHOUT_KEY, NO_ACCOUNT, WITHOUT_FIELD}) {
            configure(accounts);
            awaitStatus("key-1", 401);
            assertNothingRuns();
            configure(WITH_KEY);
            awaitStatus("key-1", 200);
            assertThat(status("never-published")).isEqualTo(401);
        }
        configure("");
        awaitStatus("never-published", 200);
        configure(WITHOUT_KEY);
        awaitStatus("never-published", 401);
        assertNothingRuns();
    }

    /** Tests processes that read the configuration without keys anew. */
    @Nested
    class Processes {

        /** Guards against a full read that loses accounts without keys, unlike a change. */
        @Test
        void startedAfterTheLastKeyRunsNothing() throws Exception {
            configure(WITHOUT_KEY);
            mSite.router().kill();
            mSite.start();
            assertNothingRuns();
        }

        /** Guards against a reload of the settings that resets the accounts. */
        @Test
        void reloadedAfterTheLastKeyRunsNothing() throws Exception {
            configure(WITHOUT_KEY);
            awaitStatus("key-1", 401);
            mSite.reload("retry-slack = 7");
            assertNothingRuns();
        }
    }
}
