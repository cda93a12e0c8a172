package org.magnoliaseam.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliaseam.pushback.NoticeFault;
import org.magnoliaseam.pushback.PushbackNotice;

/** Reads the {@code Retry-After} field of a backend server's answer, in seconds. */
final class RetryDelay {

    /** The longest text that is parsed. */
    private static final int MAX_LENGTH = 32;

    /** A decimal number; a date, which HTTP allows too, is not accepted. */
    private static final Pattern NUMBER =
            Pattern.compile("[+-]?(\\d+(\\.\\d*)?|\\.\\d+)([eE][+-]?\\d{1,3})?");

    /** Milliseconds per second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** Prevents instances of this utility class. */
    private RetryDelay() {}

    /**
     * Reads the field.
     *
     * @param fields the header fields of the answer
     * @param status the status of the answer
     * @return the delay; {@link PushbackNotice#NONE} if there is no field
     */
    static PushbackNotice read(HttpFields fields, int status) {
        List<String> values = fields.getValuesList(HttpHeader.RETRY_AFTER);
        if (values.isEmpty()) {
            return PushbackNotice.NONE;
        }
        if (status != HttpStatus.SERVICE_UNAVAILABLE_503) {
            return PushbackNotice.faulty(0, NoticeFault.DELAY_WITH_OTHER_STATUS);
        }
        if (values.size() == 1) {
            return notice(values.get(0));
        }
        long longest = 0;
        for (String value : values) {
            longest = Math.max(longest, notice(value).millis());
        }
        return PushbackNotice.faulty(longest, NoticeFault.SEVERAL_DELAYS);
    }

    /**
     * Interprets a value.
     *
     * @param text the value
     * @return the delay
     */
    private static PushbackNotice notice(String text) {
        OptionalDouble seconds = number(text.strip());
        if (seconds.isEmpty()) {
            return PushbackNotice.faulty(0, NoticeFault.MALFORMED_DELAY);
        }
        double millis = Math.ceil(seconds.getAsDouble() * MILLIS_PER_SECOND);
        if (millis < 0) {
            return PushbackNotice.faulty(0, NoticeFault.NEGATIVE_DELAY);
        }
        if (millis > PushbackNotice.MAX_MILLIS) {
            return PushbackNotice.faulty(PushbackNotice.MAX_MILLIS, NoticeFault.EXCESSIVE_DELAY);
        }
        return new PushbackNotice((long) millis, Optional.empty());
    }

    /**
     * Parses a number.
     *
     * @param text the text
     * @return the number; empty if it is malformed or too long
     */
    private static OptionalDouble number(String text) {
        return text.length() <= MAX_LENGTH && NUMBER.matcher(text).matches()
                ? OptionalDouble.of(Double.parseDouble(text))
                : OptionalDouble.empty();
    }
}
