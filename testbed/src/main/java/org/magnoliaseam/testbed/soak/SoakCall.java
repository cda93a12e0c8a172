package org.magnoliaseam.testbed.soak;

/**
 * Holds what a caller observed of one request.
 *
 * @param id the id of the request
 * @param router the number of the entry VM
 * @param process the number of starts of the entry VM so far, which identifies its process
 * @param path the path
 * @param beginNanos the local monotonic time of the send
 * @param endNanos the local monotonic time of the end
 * @param status the status of the answer; 0 if no complete head arrived
 * @param whole whether the answer was complete according to HTTP
 * @param body the part of the body that arrived
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
     * Tells whether the request may run at most once.
     *
     * @return true if it must not be repeated
     */
    boolean once() {
        return path.startsWith("/pay/") || path.startsWith("/tale/");
    }

    /**
     * Tells whether the answer is an event stream.
     *
     * @return true for paths of streams
     */
    boolean streamed() {
        return path.contains("/stream/");
    }

    /**
     * Tells whether the status guarantees that the request has not run and will not run.
     *
     * @return true for the statuses that guarantee it
     */
    boolean guaranteedNotRun() {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }
}
