package org.magnoliaseam.fleet;

import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.StartId;

/**
 * States that a backend server has proved warm.
 *
 * @param server the server
 * @param startId the run of the server that has proved warm
 */
public record WarmServer(BackendServerId server, StartId startId) {}
