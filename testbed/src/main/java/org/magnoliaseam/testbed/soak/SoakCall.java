package org.magnoliaseam.testbed.soak;

/**
 * Holds what a caller saw of one request.
 *
 * @param id the id of the request
 * @param router the number of the entry VM
 * @param process the start of the entry VM's process that the request was sent to
 * @param path the path
 * @param beginNanos the local monotonic time of the send
 * @param endNanos the local monotonic time of the end
 * @param status the status of the answer; 0 without a whole head
 * @param whole whether the answer ended as the protocol tells
 * @param body the body as far as it came
 */
record SoakCall(
        String id,
        int router,
        int process,
        String path,
        long beginNanos,
        long endNanos,
        int status,
        boolean whole,
        String body) {

    /**
     * Tells whether the request is of a kind that may run once at most.
     *
     * @return true if it must not be repeated
     */
    boolean once() {
        return path.startsWith("/pay/") || path.startsWith("/tale/");
    }

    /**
     * Tells whether the answer is a stream.
     *
     * @return true for events
     */
    boolean streamed() {
        return path.contains("/stream/");
    }

    /**
     * Tells whether the answer promises that the request has not run and will not run.
     *
     * @return true for the statuses that promise it
     */
    boolean promised() {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }
}
