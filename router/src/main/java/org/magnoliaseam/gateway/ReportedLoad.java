package org.magnoliaseam.gateway;

/**
 * Holds the load that a backend server reports with an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests in its queue
 * @param slots the requests that it can run at once
 */
public record ReportedLoad(int running, int waiting, int slots) {}
