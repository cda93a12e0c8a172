package org.magnoliaseam.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends text as a caller and reads answers whose length is stated. */
final class CallerSocket implements AutoCloseable {

    private static final String LENGTH = "Content-Length: ";

    private final Socket mSocket;

    CallerSocket(int port, int timeoutMillis) throws IOException {
        mSocket = new Socket(InetAddress.getLoopbackAddress(), port);
        mSocket.setSoTimeout(timeoutMillis);
        mSocket.setTcpNoDelay(true);
    }

    void write(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the next answer and returns its head; empty if the connection ends before it. */
    String answer() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = mSocket.getInputStream().read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String fromLength = head.substring(head.indexOf(LENGTH) + LENGTH.length());
        int length = Integer.parseInt(fromLength.substring(0, fromLength.indexOf('\r')));
        mSocket.getInputStream().readNBytes(length);
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
