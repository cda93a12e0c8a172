package org.magnoliaseam.operator;

/**
 * Holds a rendered page.
 *
 * @param status the HTTP status
 * @param mediaType the media type
 * @param text the text
 */
public record PageContent(int status, String mediaType, String text) {

    /** The HTTP status of a page that was found. */
    private static final int OK = 200;

    /** The HTTP status of a malformed query. */
    private static final int BAD_REQUEST = 400;

    /** The HTTP status of a page that was not found. */
    private static final int NOT_FOUND = 404;

    /** The HTTP status of a page that cannot be rendered yet. */
    private static final int UNAVAILABLE = 503;

    /**
     * Creates a page of plain text.
     *
     * @param text the text
     * @return the page
     */
    public static PageContent plain(String text) {
        return new PageContent(OK, "text/plain; charset=utf-8", text);
    }

    /**
     * Creates a page of JSON.
     *
     * @param text the JSON text
     * @return the page
     */
    public static PageContent json(String text) {
        return new PageContent(OK, "application/json", text);
    }

    /**
     * Creates a page of HTML.
     *
     * @param text the HTML text
     * @return the page
     */
    public static PageContent html(String text) {
        return new PageContent(OK, "text/html; charset=utf-8", text);
    }

    /**
     * Creates the response to a malformed query.
     *
     * @param text one sentence
     * @return the page
     */
    public static PageContent badRequest(String text) {
        return new PageContent(BAD_REQUEST, "text/plain; charset=utf-8", text);
    }

    /**
     * Creates the response for a page that does not exist.
     *
     * @param text one sentence
     * @return the page
     */
    public static PageContent notFound(String text) {
        return new PageContent(NOT_FOUND, "text/plain; charset=utf-8", text);
    }

    /**
     * Creates the response for a page that cannot be rendered yet.
     *
     * @param text one sentence
     * @return the page
     */
    public static PageContent unavailable(String text) {
        return new PageContent(UNAVAILABLE, "text/plain; charset=utf-8", text);
    }
}
