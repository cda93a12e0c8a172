package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.raw.RawMessage;
import org.magnoliaseam.testbed.raw.RawServer;

/** Tests the header fields that reach a backend server. */
class ForwardedFieldsIT {

    @TempDir private Path mFolder;

    private RawSite mSite;

    private RawServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer = new RawServer();
        mSite = new RawSite(mFolder, "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1");
        mSite.server("i-sound", "sound", mServer);
        mSite.configure(RawSite.route("sound", "/a/", "safe", 3000, 1));
        mSite.start();
    }

    @AfterEach
    void stop() throws Exception {
        mSite.close();
        mServer.close();
    }

    private RawMessage call(String fields) throws IOException {
        String head = RawSite.head("POST", "/a/", "r-1", 0);
        try (Socket socket = mSite.connect()) {
            RawSite.write(socket, head.substring(0, head.length() - 2) + fields + "\r\n");
            return RawSite.read(socket);
        }
    }

    /** Guards against fields that the router adds on its own, such as a request for gzip. */
    @Test
    void serverGetsNoFieldThatNoPageNames() throws IOException {
        call("X-Own: a  b\r\nX-Own: c\r\nAccept: x/y\r\n");
        List<String> names =
                mServer.requests().get(0).fields().stream()
                        .map(field -> field.substring(0, field.indexOf(':')))
                        .filter(name -> !"Content-Length".equals(name))
                        .toList();
        assertThat(names)
                .containsExactlyInAnyOrder(
                        "Host",
                        "X-Request-Id",
                        "X-Deadline-Ms",
                        "X-Target-Instance",
                        "X-Own",
                        "X-Own",
                        "Accept");
        assertThat(mServer.requests().get(0).values("X-Own")).containsExactly("a  b", "c");
    }

    /** Guards against heads that are accepted from callers but not sent on. */
    @Test
    void headNearTheLimitIsForwarded() throws IOException {
        String pad = "p".repeat(15_900);
        assertThat(call("X-Pad: " + pad + "\r\n").status()).isEqualTo(200);
        assertThat(mServer.requests().get(0).value("X-Pad")).contains(pad);
    }
}
