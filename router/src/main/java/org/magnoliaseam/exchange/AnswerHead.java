package org.magnoliaseam.exchange;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Holds the status and header fields of a response.
 *
 * @param status the HTTP status
 * @param headers the header fields
 */
public record AnswerHead(int status, List<Header> headers) {

    /**
     * Tells whether the body may have a media type.
     *
     * @param mediaType the media type without parameters, in lower case
     * @return false if the response states another one
     */
    public boolean mayBe(String mediaType) {
        return field("Content-Type")
                .map(value -> value.strip().toLowerCase(Locale.ROOT).startsWith(mediaType))
                .orElse(true);
    }

    /**
     * Tells whether the response states where its body ends.
     *
     * @return false if the body ends with its connection
     */
    public boolean framed() {
        return field("Content-Length").isPresent() || field("Transfer-Encoding").isPresent();
    }

    /**
     * Returns a header field.
     *
     * @param name its name
     * @return the first value; empty if the response has no such field
     */
    private Optional<String> field(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }
}
