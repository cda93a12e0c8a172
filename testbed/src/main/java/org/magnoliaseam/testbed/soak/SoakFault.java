package org.magnoliaseam.testbed.soak;

import java.util.List;
import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.LinkFaults;
import org.magnoliaseam.testbed.store.ServerStandIn.Mode;
import org.magnoliaseam.testbed.store.StatedNotices;

/** Lists the faults and planned changes of a soak test. */
enum SoakFault {
    /** Freezes a process. */
    PAUSE(300, 4000, (site, target) -> site.router(target).pause()),
    /** Kills a process and starts it again. */
    KILL(100, 1500, (site, target) -> site.router(target).kill()),
    /** Stops a process with SIGTERM and starts it again. */
    STOP(100, 600, (site, target) -> site.router(target).stop()),
    /** Makes a process reload its settings. */
    RELOAD(100, 200, (site, target) -> site.router(target).reload()),
    /** Drops everything that a process and the store send each other. */
    STORE_SILENT(500, 4000, storeLink(LinkFaults.both(Fault.BLACKHOLE))),
    /** Drops only the answers of the store. */
    STORE_ONE_WAY(500, 4000, storeLink(new LinkFaults(Fault.PASS, Fault.BLACKHOLE, 0))),
    /** Resets the connections of a process to the store. */
    STORE_RESET(50, 2000, storeLink(LinkFaults.both(Fault.RESET))),
    /** Delays what a process and the store send each other. */
    STORE_DELAY(500, 4000, storeLink(LinkFaults.delay(300))),
    /** Makes the store refuse connections. */
    STORE_DOWN(500, 3000, (site, target) -> site.storeDown()),
    /** Compacts the history of the store. */
    STORE_FORGETS(100, 200, (site, target) -> site.storeForgets()),
    /** Drops everything that a server receives and sends. */
    SERVER_SILENT(300, 3000, serverLink(LinkFaults.both(Fault.BLACKHOLE))),
    /** Drops only the answers of a server. */
    SERVER_ONE_WAY(300, 3000, serverLink(new LinkFaults(Fault.PASS, Fault.BLACKHOLE, 0))),
    /** Resets the connections to a server. */
    SERVER_RESET(50, 1500, serverLink(LinkFaults.both(Fault.RESET))),
    /** Delays everything that a server receives and sends. */
    SERVER_DELAY(300, 3000, serverLink(LinkFaults.delay(60))),
    /** Crashes a server, which another one replaces. */
    SERVER_CRASH(500, 2500, (site, target) -> site.server(target).crash()),
    /** Drains a server, which another one replaces. */
    SERVER_DRAIN(2500, 4000, (site, target) -> site.server(target).drain()),
    /** Makes a server lose its answers. */
    SERVER_LOSES(200, 2000, serverMode(Mode.LOSE_ANSWER)),
    /** Makes a server interrupt its streams. */
    SERVER_CUTS(200, 2000, serverMode(Mode.CUT_STREAM)),
    /** Makes a server run requests and never answer. */
    SERVER_MUTE(200, 2000, serverMode(Mode.MUTE)),
    /** Makes a server send the answers of other requests. */
    SERVER_FOREIGN(200, 2000, serverMode(Mode.FOREIGN)),
    /** Makes a server refuse requests before it runs them. */
    SERVER_REFUSES(200, 2000, serverMode(Mode.REFUSE)),
    /** Publishes a new configuration. */
    CONFIGURE(100, 200, (site, target) -> site.configure()),
    /** Takes a failure domain out of service and back. */
    EVACUATE(3000, 8000, (site, target) -> site.evacuate(target)),
    /** Makes a server say that it is leaving, and start again under its id. */
    SERVER_SAYS_LEAVING(2600, 4500, (site, target) -> site.server(target).leaveByAnswer()),
    /** Makes a server refuse requests and ask for none for a short time. */
    SERVER_PUSHES_BACK(300, 2500, stated(StatedNotices.pushback("0.3"))),
    /** Makes a server refuse requests and ask for none for longer than the fault lasts. */
    SERVER_PUSHES_BACK_LONG(300, 1500, stated(StatedNotices.pushback("2"))),
    /** Makes a server refuse requests with a retry delay that is no number. */
    SERVER_STATES_NO_NUMBER(200, 1500, stated(faulty(503, "soon"))),
    /** Makes a server refuse requests with a negative retry delay. */
    SERVER_STATES_NEGATIVE(200, 1500, stated(faulty(503, "-1"))),
    /** Makes a server refuse requests with two retry delays. */
    SERVER_STATES_TWO(200, 1500, stated(faulty(503, "0.2", "0.1"))),
    /** Makes a server refuse requests with status 429 and a very long retry delay. */
    SERVER_STATES_WITH_429(200, 1500, stated(faulty(429, "1e9"))),
    /** Makes a server add a very long retry delay to the answers of requests that it serves. */
    SERVER_STATES_WITH_SUCCESS(200, 2000, stated(faulty(0, "1e9"))),
    /** Makes a server add an unknown value of the field for servers that are leaving. */
    SERVER_STATES_UNKNOWN(200, 2000, stated(new StatedNotices("perhaps", List.of("0"), 0))),
    /** Makes a sound server fall silent and go on. */
    SERVER_HANGS(300, 1500, (site, target) -> site.server(target).hang()),
    /** Makes all servers fall silent at once and go on. */
    SERVERS_HANG(300, 1500, (site, target) -> site.hang()),
    /** Makes the store come back from a copy that is as old as the fault lasts. */
    STORE_RESTORED(300, 2500, (site, target) -> site.storeRestored());

    /** The number of faults that plans draw; the later ones have plans of their own. */
    static final int FIRST_NOTICE = SERVER_SAYS_LEAVING.ordinal();

    /** The position of the first fault that only makes servers silent. */
    static final int FIRST_SILENCE = SERVER_HANGS.ordinal();

    /** The position of the first fault in which the store loses what it has acknowledged. */
    static final int FIRST_RESTORE = STORE_RESTORED.ordinal();

    /** The shortest and the longest duration in milliseconds. */
    private final int[] mMillis;

    /** Begins the fault. */
    private final Action mAction;

    /** Begins a fault. */
    @FunctionalInterface
    private interface Action {

        /**
         * Begins the fault.
         *
         * @param site the system
         * @param target the number of the process or server
         * @return ends the fault
         * @throws Exception if the fault cannot be injected
         */
        AutoCloseable begin(SoakSite site, int target) throws Exception;
    }

    /**
     * Creates a fault.
     *
     * @param shortest the shortest duration in milliseconds
     * @param longest the longest duration in milliseconds
     * @param action begins the fault
     */
    SoakFault(int shortest, int longest, Action action) {
        mMillis = new int[] {shortest, longest};
        mAction = action;
    }

    /**
     * Returns how long the fault lasts.
     *
     * @return the shortest and the longest duration in milliseconds
     */
    int[] millis() {
        return mMillis;
    }

    /**
     * Begins the fault.
     *
     * @param site the system
     * @param target the number of the process or server
     * @return ends the fault
     * @throws Exception if the fault cannot be injected
     */
    AutoCloseable begin(SoakSite site, int target) throws Exception {
        return mAction.begin(site, target);
    }

    /**
     * Disturbs the link between a process and the store.
     *
     * @param faults the faults of the link
     * @return the action
     */
    private static Action storeLink(LinkFaults faults) {
        return (site, target) -> site.router(target).storeLink(faults);
    }

    /**
     * Disturbs the link to a server.
     *
     * @param faults the faults of the link
     * @return the action
     */
    private static Action serverLink(LinkFaults faults) {
        return (site, target) -> site.server(target).link(faults);
    }

    /**
     * Changes the mode of a server.
     *
     * @param mode the mode
     * @return the action
     */
    private static Action serverMode(Mode mode) {
        return (site, target) -> site.server(target).mode(mode);
    }

    /**
     * Creates an action that makes a server state something in its answers.
     *
     * @param notices what it states
     * @return the action
     */
    private static Action stated(StatedNotices notices) {
        return (site, target) -> site.server(target).state(notices);
    }

    /**
     * Creates notices with retry delays that cannot be used as they are.
     *
     * @param refusal the status with which requests are refused; 0 if they are served
     * @param delays the retry delays
     * @return the notices
     */
    private static StatedNotices faulty(int refusal, String... delays) {
        return new StatedNotices("", List.of(delays), refusal);
    }
}
