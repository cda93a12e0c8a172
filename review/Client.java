import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client connection. */
final class Client implements AutoCloseable {
    /** A whole answer; the body is kept as it was read. */
    static final class Answer {
        final int status;
        final Http.Head head;
        final byte[] body;

        Answer(Http.Head head, byte[] body) {
            this.status = head.status();
            this.head = head;
            this.body = body;
        }
    }

    final Socket socket = new Socket();
    private final BufferedInputStream in;
    private final OutputStream out;

    Client(String host, int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(Site.loopback(host), port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    Answer read() throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        return new Answer(head, Http.readBody(in, head));
    }

    static Answer once(String host, int port, String request, int timeoutMillis)
            throws IOException {
        try (Client client = new Client(host, port, timeoutMillis)) {
            client.send(Site.ascii(request));
            return client.read();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
