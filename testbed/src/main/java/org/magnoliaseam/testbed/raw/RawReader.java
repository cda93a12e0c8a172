package org.magnoliaseam.testbed.raw;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads messages from one connection. Used by one thread. */
public final class RawReader {

    /** The radix of chunk sizes. */
    private static final int HEX = 16;

    /** The input of the connection. */
    private final InputStream mIn;

    /**
     * Creates a reader.
     *
     * @param in the input of the connection
     */
    public RawReader(InputStream in) {
        mIn = in;
    }

    /**
     * Reads a request.
     *
     * @return the request; empty at the end of the connection
     * @throws IOException if the connection is reset or a time limit passes
     */
    public Optional<RawMessage> request() throws IOException {
        return message(false, false);
    }

    /**
     * Reads an answer.
     *
     * @param bodiless whether it has no body because of the method of its request
     * @return the answer; empty if the connection ends before its head is complete
     * @throws IOException if the connection is reset or a time limit passes
     */
    public Optional<RawMessage> answer(boolean bodiless) throws IOException {
        return message(true, bodiless);
    }

    /**
     * Reads a message.
     *
     * @param answer whether it is an answer, whose body may end with the connection
     * @param bodiless whether it has no body
     * @return the message; empty at the end of the connection
     * @throws IOException if the connection is reset or a time limit passes
     */
    private Optional<RawMessage> message(boolean answer, boolean bodiless) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            Optional<String> line = line();
            if (line.isEmpty()) {
                return Optional.empty();
            }
            if (line.get().isEmpty()) {
                break;
            }
            lines.add(line.get());
        }
        String startLine = lines.remove(0);
        RawMessage head = new RawMessage(startLine, List.copyOf(lines), new byte[0], true);
        boolean empty = bodiless || answer && hasNoBody(head.status());
        return Optional.of(empty ? head : body(head, answer));
    }

    /**
     * Tells whether answers with a status have no body.
     *
     * @param status the status
     * @return true for 204 and 304
     */
    private static boolean hasNoBody(int status) {
        return status == 204 || status == 304;
    }

    /**
     * Reads the body of a message.
     *
     * @param head the message without its body
     * @param answer whether it is an answer, whose body may end with the connection
     * @return the message with its body
     * @throws IOException if the connection is reset or a time limit passes
     */
    private RawMessage body(RawMessage head, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        Optional<String> length = head.value("Content-Length");
        if (head.value("Transfer-Encoding").isPresent()) {
            complete = chunks(body);
        } else if (length.isPresent()) {
            byte[] bytes = mIn.readNBytes(Integer.parseInt(length.get()));
            body.writeBytes(bytes);
            complete = bytes.length == Integer.parseInt(length.get());
        } else {
            body.writeBytes(answer ? mIn.readAllBytes() : new byte[0]);
            complete = true;
        }
        return new RawMessage(head.startLine(), head.fields(), body.toByteArray(), complete);
    }

    /**
     * Reads a body in chunks with its trailers.
     *
     * @param body receives the bytes
     * @return whether the last chunk and the end of the trailers arrived
     * @throws IOException if the connection is reset or a time limit passes
     */
    private boolean chunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            Optional<String> line = line();
            if (line.isEmpty()) {
                return false;
            }
            int size = Integer.parseInt(line.get().split(";")[0].strip(), HEX);
            if (size == 0) {
                break;
            }
            byte[] bytes = mIn.readNBytes(size);
            body.writeBytes(bytes);
            if (bytes.length < size || line().isEmpty()) {
                return false;
            }
        }
        Optional<String> trailer = line();
        while (trailer.isPresent() && !trailer.get().isEmpty()) {
            trailer = line();
        }
        return trailer.isPresent();
    }

    /**
     * Reads a line.
     *
     * @return the line without its end; empty if the connection ends before
     * @throws IOException if the connection is reset or a time limit passes
     */
    private Optional<String> line() throws IOException {
        StringBuilder line = new StringBuilder();
        int next = mIn.read();
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = mIn.read();
        }
        if (next < 0) {
            return Optional.empty();
        }
        boolean carriageReturn = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
        return Optional.of(line.substring(0, line.length() - (carriageReturn ? 1 : 0)));
    }
}
