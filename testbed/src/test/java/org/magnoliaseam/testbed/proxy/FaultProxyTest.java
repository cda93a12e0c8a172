package org.magnoliaseam.testbed.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Tests the faults of a link to an echo server. */
class FaultProxyTest {

    private static final int TIMEOUT_MILLIS = 300;
    private static final int ANSWER_TIMEOUT_MILLIS = 5000;

    private ServerSocket mTarget;
    private FaultProxy mProxy;

    @BeforeEach
    void start() throws IOException {
        mTarget = new ServerSocket(0);
        Thread echo = new Thread(this::accept);
        echo.setDaemon(true);
        echo.start();
        mProxy =
                new FaultProxy(
                        ListenAddress.loopback(0), ListenAddress.loopback(mTarget.getLocalPort()));
    }

    @AfterEach
    void stop() throws IOException {
        mProxy.close();
        mTarget.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mTarget.accept();
                Thread copy = new Thread(() -> echo(socket));
                copy.setDaemon(true);
                copy.start();
            }
        } catch (IOException e) {
            assertThat(mTarget.isClosed()).isTrue();
        }
    }

    private static void echo(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException e) {
            assertThat(e).isInstanceOf(SocketException.class);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(mProxy.address().host(), mProxy.address().port());
        socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
        return socket;
    }

    private static int exchange(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    @Test
    void forwardsAndDelaysBytes() throws IOException {
        try (Socket socket = connect()) {
            assertThat(exchange(socket, 'a')).isEqualTo('a');
            mProxy.apply(LinkFaults.delay(100));
            long start = System.nanoTime();
            assertThat(exchange(socket, 'b')).isEqualTo('b');
            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(200_000_000);
        }
    }

    @Test
    void blackholeOfOneDirectionKeepsConnectionsOpenUntilRemoved() throws IOException {
        try (Socket old = connect()) {
            assertThat(exchange(old, 'a')).isEqualTo('a');
            mProxy.apply(new LinkFaults(Fault.BLACKHOLE, Fault.PASS, 0));
            try (Socket fresh = connect()) {
                old.setSoTimeout(TIMEOUT_MILLIS);
                fresh.setSoTimeout(TIMEOUT_MILLIS);
                assertThatThrownBy(() -> exchange(old, 'b'))
                        .isInstanceOf(SocketTimeoutException.class);
                assertThatThrownBy(() -> exchange(fresh, 'b'))
                        .isInstanceOf(SocketTimeoutException.class);
            }
            mProxy.heal();
            assertThatThrownBy(() -> old.getInputStream().read())
                    .isInstanceOf(SocketException.class);
            try (Socket reconnected = connect()) {
                assertThat(exchange(reconnected, 'c')).isEqualTo('c');
            }
        }
    }

    @Test
    void cutEndsConnectionsUntilRemoved() throws IOException {
        try (Socket socket = connect()) {
            assertThat(exchange(socket, 'a')).isEqualTo('a');
            mProxy.apply(LinkFaults.both(Fault.CUT));
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        mProxy.heal();
        try (Socket reconnected = connect()) {
            assertThat(exchange(reconnected, 'c')).isEqualTo('c');
        }
    }

    @Test
    void resetFaultResetsConnectionsUntilRemoved() throws IOException {
        try (Socket socket = connect()) {
            assertThat(exchange(socket, 'a')).isEqualTo('a');
            mProxy.apply(LinkFaults.both(Fault.RESET));
            assertThatThrownBy(() -> socket.getInputStream().read())
                    .isInstanceOf(SocketException.class)
                    .hasMessageContaining("reset");
        }
        assertThatThrownBy(this::connect).isInstanceOf(SocketException.class);
        mProxy.heal();
        try (Socket reconnected = connect()) {
            assertThat(exchange(reconnected, 'c')).isEqualTo('c');
        }
    }
}
