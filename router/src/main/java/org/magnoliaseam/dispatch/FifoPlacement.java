package org.magnoliaseam.dispatch;

import java.util.Comparator;
import java.util.List;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.ServerView;

/** Lists the ways in which {@link FifoDispatcher} chooses a server. */
enum FifoPlacement {
    /** Rotates over the servers. */
    ROUND_ROBIN {
        @Override
        ServerView choose(List<ServerView> candidates, long turn) {
            return candidates.get((int) (turn % candidates.size()));
        }
    },
    /** Takes the server with the fewest running and waiting requests in its last report. */
    LEAST_REPORTED_LOAD {
        @Override
        ServerView choose(List<ServerView> candidates, long turn) {
            return candidates.stream()
                    .min(Comparator.comparingInt(FifoPlacement::reportedLoad))
                    .orElseThrow();
        }
    };

    /**
     * Chooses a server.
     *
     * @param candidates the servers with free slots, at least one
     * @param turn the number of starts so far
     * @return the server
     */
    abstract ServerView choose(List<ServerView> candidates, long turn);

    /**
     * Returns the load that a server reported.
     *
     * @param server the server
     * @return the running and waiting requests; 0 if there is no report
     */
    private static int reportedLoad(ServerView server) {
        if (server.report().isEmpty()) {
            return 0;
        }
        LoadReport report = server.report().get();
        return report.running() + report.queued();
    }
}
