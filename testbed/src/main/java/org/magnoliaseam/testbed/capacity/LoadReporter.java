package org.magnoliaseam.testbed.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Answers every HTTP request on many addresses with the load report of an idle server. */
final class LoadReporter {

    /** The size of the read buffer in bytes; a request is far smaller. */
    private static final int BUFFER_BYTES = 4096;

    /** The end of a request without a body. */
    private static final byte[] REQUEST_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** The report of an idle server. */
    private static final String REPORT =
            "{\"startId\":\"run-1\",\"running\":0,\"queued\":0,\"leaving\":false}";

    /** The complete HTTP answer. */
    private static final byte[] ANSWER =
            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + REPORT.length()
                            + "\r\n\r\n"
                            + REPORT)
                    .getBytes(StandardCharsets.US_ASCII);

    /** The selector that reports connections and requests. */
    private final Selector mSelector;

    /** The buffer for reads. */
    private final ByteBuffer mBuffer = ByteBuffer.allocate(BUFFER_BYTES);

    /**
     * Creates a reporter.
     *
     * @throws IOException if the selector cannot be opened
     */
    LoadReporter() throws IOException {
        mSelector = Selector.open();
    }

    /**
     * Listens on an address.
     *
     * @param address the address
     * @throws IOException if the address cannot be bound
     */
    void listen(ListenAddress address) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(address.host(), address.port()));
        server.configureBlocking(false);
        server.register(mSelector, SelectionKey.OP_ACCEPT);
    }

    /**
     * Serves until the process ends.
     *
     * @throws IOException if the selector fails
     */
    void serve() throws IOException {
        while (true) {
            mSelector.select(this::handle);
        }
    }

    /**
     * Accepts a connection or answers requests.
     *
     * @param key the ready channel
     */
    private void handle(SelectionKey key) {
        try {
            if (key.isAcceptable()) {
                SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                accepted.configureBlocking(false);
                accepted.register(mSelector, SelectionKey.OP_READ);
            } else {
                answer((SocketChannel) key.channel());
            }
        } catch (IOException e) {
            key.cancel();
        }
    }

    /**
     * Reads requests and answers each one whose end is in the same read.
     *
     * @param channel the connection
     * @throws IOException if the connection is lost
     */
    private void answer(SocketChannel channel) throws IOException {
        mBuffer.clear();
        if (channel.read(mBuffer) < 0) {
            channel.close();
            return;
        }
        mBuffer.flip();
        for (int i = 0; i + REQUEST_END.length <= mBuffer.limit(); i++) {
            if (mBuffer.slice(i, REQUEST_END.length).equals(ByteBuffer.wrap(REQUEST_END))) {
                channel.write(ByteBuffer.wrap(ANSWER));
            }
        }
    }
}
