package org.magnoliaseam.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.magnoliaseam.fleet.FleetView;
import org.magnoliaseam.fleet.PeerView;
import org.magnoliaseam.fleet.ServerView;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.time.MonotonicClock;

/** Renders the state of a router process as JSON. */
public final class StatusPage implements OperatorPage {

    /** Writes JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the current state. */
    private final Supplier<RouterStatus> mStatus;

    /** Measures the age of reports. */
    private final MonotonicClock mClock;

    /**
     * Creates a page.
     *
     * @param status returns the current state
     * @param clock measures the age of reports
     */
    public StatusPage(Supplier<RouterStatus> status, MonotonicClock clock) {
        mStatus = status;
        mClock = clock;
    }

    @Override
    public PageContent render(String rest, String query) {
        RouterStatus status = mStatus.get();
        ObjectNode root = MAPPER.createObjectNode();
        root.put("vm", status.vm().value());
        root.put("incarnation", status.incarnation().toString());
        root.put("ready", status.ready());
        root.put("leaving", status.leaving());
        root.put("activeRequests", status.activeRequests());
        root.put("pauses", status.pauses());
        root.put("configurationVersion", status.configurationVersion());
        root.put("memberListVersion", status.memberListVersion());
        for (TierLoad pressure : status.pressure()) {
            root.withArray("tiers")
                    .addObject()
                    .put("tier", pressure.tier().rank())
                    .put("queued", pressure.queued())
                    .put("oldestWaitMillis", pressure.oldestWaitMillis())
                    .put("running", pressure.running());
        }
        status.view().ifPresent(view -> addView(root, view));
        return PageContent.json(root.toPrettyString() + "\n");
    }

    /**
     * Adds the snapshot of the fleet.
     *
     * @param root the JSON object to add to
     * @param view the snapshot
     */
    private void addView(ObjectNode root, FleetView view) {
        root.put("configurationDigest", view.configuration().configuration().digest());
        for (PeerView peer : view.peers()) {
            root.withArray("peers")
                    .addObject()
                    .put("vm", peer.vm().value())
                    .put("ageMillis", ageMillis(peer.receivedNanos()))
                    .put("configurationVersion", peer.summary().configurationVersion())
                    .put("memberListVersion", peer.summary().memberListVersion())
                    .put("ready", peer.summary().ready())
                    .put("leaving", peer.summary().leaving());
        }
        for (ServerView server : view.servers().values()) {
            ObjectNode node = root.withArray("backendServers").addObject();
            node.put("id", server.server().id().value());
            node.put("failureDomain", server.server().failureDomain().value());
            node.put("slots", server.slots());
            node.put("cold", server.cold());
            node.put("reason", server.slotsReason());
            node.put("firstTokenMillis", server.firstTokenMillis());
            node.put("tokenMillis", server.tokenMillis());
            server.report()
                    .ifPresent(
                            report ->
                                    node.put("running", report.running())
                                            .put("startId", report.startId().value())
                                            .put(
                                                    "reportAgeMillis",
                                                    ageMillis(report.confirmedNanos())));
        }
    }

    /**
     * Computes the time since an event.
     *
     * @param nanos the local monotonic time of the event, in nanoseconds
     * @return the elapsed time in milliseconds
     */
    private long ageMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(mClock.nanos() - nanos);
    }
}
