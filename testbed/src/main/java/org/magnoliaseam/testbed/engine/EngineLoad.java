package org.magnoliaseam.testbed.engine;

/**
 * Reports the load of an engine.
 *
 * @param startId the identifier of this run of the engine
 * @param running the requests that are running
 * @param queued the requests that wait
 * @param leaving whether the engine takes no new requests
 */
public record EngineLoad(String startId, int running, int queued, boolean leaving) {}
