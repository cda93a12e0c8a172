package org.magnoliaseam.operator;

import java.util.Locale;
import java.util.Optional;

/** Lists the formats of pages. */
enum PageFormat {
    /** Plain text. */
    TEXT,
    /** JSON. */
    JSON,
    /** HTML. */
    HTML;

    /** The query parameter with its equals sign. */
    private static final String PARAMETER = "format=";

    /**
     * Reads the format that a query asks for.
     *
     * @param query the query; may be empty
     * @return the format, text if the query names none, or empty if the format is unknown
     */
    static Optional<PageFormat> of(String query) {
        for (String part : query.split("&")) {
            if (part.startsWith(PARAMETER)) {
                return named(part.substring(PARAMETER.length()));
            }
        }
        return Optional.of(TEXT);
    }

    /**
     * Finds a format.
     *
     * @param name the name in lower case
     * @return the format, or empty if there is none
     */
    private static Optional<PageFormat> named(String name) {
        for (PageFormat format : values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Optional.of(format);
            }
        }
        return Optional.empty();
    }
}
