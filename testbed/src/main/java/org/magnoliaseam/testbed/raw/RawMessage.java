package org.magnoliaseam.testbed.raw;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds a message as it was read from a connection. Bytes of the head stand for the characters with
 * the same number.
 *
 * @param startLine the request line or the status line
 * @param fields the lines of the header fields in order
 * @param body the body without its framing
 * @param complete whether the body ended as its framing states
 */
public record RawMessage(String startLine, List<String> fields, byte[] body, boolean complete) {

    /** The number of parts of a request line or status line. */
    private static final int START_PARTS = 3;

    /**
     * Returns the values of a header field.
     *
     * @param name the name in any case
     * @return the values in order, without the white space around them
     */
    public List<String> values(String name) {
        List<String> values = new ArrayList<>();
        for (String field : fields) {
            int colon = field.indexOf(':');
            if (colon > 0 && field.substring(0, colon).equalsIgnoreCase(name)) {
                values.add(field.substring(colon + 1).replaceAll("^[ \t]+|[ \t]+$", ""));
            }
        }
        return values;
    }

    /**
     * Returns the first value of a header field.
     *
     * @param name the name in any case
     * @return the value; empty if the field is absent
     */
    public Optional<String> value(String name) {
        return values(name).stream().findFirst();
    }

    /**
     * Returns the target of a request.
     *
     * @return the second part of the request line
     */
    public String target() {
        return startLine.split(" ", START_PARTS)[1];
    }

    /**
     * Returns the status of an answer.
     *
     * @return the status code
     */
    public int status() {
        return Integer.parseInt(startLine.split(" ", START_PARTS)[1]);
    }
}
