package org.magnoliaseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.error.Result;

/** Tests the commands that read pages from the operators' port. */
class OperatorsPortTest {

    private final RecordedConsole mConsole = new RecordedConsole();

    private final Server mServer = new Server();

    private final ServerConnector mConnector = new ServerConnector(mServer);

    @TempDir private Path mDirectory;

    @BeforeEach
    void startServer() throws Exception {
        mConnector.setHost("127.0.0.1");
        mServer.addConnector(mConnector);
        mServer.setHandler(new PageHandler());
        mServer.start();
    }

    @AfterEach
    void stopServer() throws Exception {
        mServer.stop();
    }

    @Test
    void statusPrintsThePage() {
        assertThat(run("status", "--address", address())).isZero();
        assertThat(mConsole.out()).isEqualTo("page /status" + System.lineSeparator());
    }

    @Test
    void burnAsksForTheFormat() {
        assertThat(run("burn", "--address", address())).isZero();
        assertThat(run("burn", "--address", address(), "--format", "html")).isZero();
        assertThat(mConsole.out()).contains("page /burn?format=text", "page /burn?format=html");
    }

    @Test
    void burnWritesItsReportToAFile() throws IOException {
        Path file = mDirectory.resolve("burn.json");
        assertThat(run("burn", "--address", address(), "--format=json", "--out", file.toString()))
                .isZero();
        assertThat(Files.readString(file)).contains("/burn?format=json");
        assertThat(mConsole.out()).isEmpty();
    }

    @Test
    void burnFailsIfTheFileCannotBeWritten() {
        String file = mDirectory.resolve("absent").resolve("burn.txt").toString();
        assertThat(run("burn", "--address", address(), "--out", file)).isEqualTo(1);
        assertThat(mConsole.err()).contains("cannot write " + file);
    }

    @Test
    void explainPrintsThePage() {
        assertThat(run("explain", "id-1", "--address", address())).isZero();
        assertThat(mConsole.out()).contains("page /explain/id-1");
    }

    @Test
    void unknownRequestFails() {
        assertThat(run("explain", "missing", "--address", address())).isEqualTo(1);
        assertThat(mConsole.err()).contains("has no page or record at /explain/missing");
    }

    @Test
    void errorStatusFails() {
        assertThat(run("explain", "broken", "--address", address())).isEqualTo(1);
        assertThat(mConsole.err()).contains("answered with status 500");
    }

    @Test
    void unreachableAddressFails() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        assertThat(run("status", "--address", "127.0.0.1:" + port)).isEqualTo(1);
        assertThat(mConsole.err()).contains("cannot reach 127.0.0.1:" + port);
    }

    @Test
    void slowAnswerCausesANotice() {
        OperatorsClient client = new OperatorsClient(mConsole.console(), Duration.ofMillis(50));
        OperatorsAddress address = new OperatorsAddress("127.0.0.1", mConnector.getLocalPort());
        assertThat(client.read(address, "/slow")).isEqualTo(Result.ok("page /slow"));
        assertThat(mConsole.err()).contains("waiting for an answer from " + address);
    }

    private String address() {
        return "127.0.0.1:" + mConnector.getLocalPort();
    }

    private int run(String... args) {
        CommandTable table =
                new CommandTable(settings -> 0, (settings, file) -> 0, new TextDecisionRenderer());
        return new Program(table, mConsole.console(), "1.2.3").run(args);
    }

    /** Responds with the path of the page. */
    private static final class PageHandler extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws InterruptedException {
            String page = request.getHttpURI().getPathQuery();
            if (page.endsWith("/missing")) {
                response.setStatus(404);
            }
            if (page.endsWith("/broken")) {
                response.setStatus(500);
            }
            if (page.endsWith("/slow")) {
                Thread.sleep(600);
            }
            Content.Sink.write(response, true, "page " + page, callback);
            return true;
        }
    }
}
