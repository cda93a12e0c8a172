package org.magnoliaseam.testbed.soak;

import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.LinkFaults;
import org.magnoliaseam.testbed.store.ServerStandIn.Mode;

/** Lists what a soak does to the system. */
enum SoakFault {
    /** Freezes a process. */
    PAUSE(300, 4000, (site, target) -> site.router(target).pause()),
    /** Kills a process and starts it again. */
    KILL(100, 1500, (site, target) -> site.router(target).kill()),
    /** Asks a process to end and starts it again. */
    STOP(100, 600, (site, target) -> site.router(target).stop()),
    /** Lets a process read its settings again. */
    RELOAD(100, 200, (site, target) -> site.router(target).reload()),
    /** Swallows what a process and the store send each other. */
    STORE_SILENT(500, 4000, storeLink(LinkFaults.both(Fault.BLACKHOLE))),
    /** Swallows the store's answers only. */
    STORE_ONE_WAY(500, 4000, storeLink(new LinkFaults(Fault.PASS, Fault.BLACKHOLE, 0))),
    /** Resets the connections of a process to the store. */
    STORE_RESET(50, 2000, storeLink(LinkFaults.both(Fault.RESET))),
    /** Delays what a process and the store send each other. */
    STORE_DELAY(500, 4000, storeLink(LinkFaults.delay(300))),
    /** Lets the store refuse connections. */
    STORE_DOWN(500, 3000, (site, target) -> site.storeDown()),
    /** Lets the store forget its history. */
    STORE_FORGETS(100, 200, (site, target) -> site.storeForgets()),
    /** Swallows what a server gets and sends. */
    SERVER_SILENT(300, 3000, serverLink(LinkFaults.both(Fault.BLACKHOLE))),
    /** Swallows the answers of a server only. */
    SERVER_ONE_WAY(300, 3000, serverLink(new LinkFaults(Fault.PASS, Fault.BLACKHOLE, 0))),
    /** Resets the connections to a server. */
    SERVER_RESET(50, 1500, serverLink(LinkFaults.both(Fault.RESET))),
    /** Delays what a server gets and sends. */
    SERVER_DELAY(300, 3000, serverLink(LinkFaults.delay(60))),
    /** Crashes a server; another one takes its place. */
    SERVER_CRASH(500, 2500, (site, target) -> site.server(target).crash()),
    /** Lets a server leave and another one take its place. */
    SERVER_DRAIN(2500, 4000, (site, target) -> site.server(target).drain()),
    /** Lets a server lose its answers. */
    SERVER_LOSES(200, 2000, serverMode(Mode.LOSE_ANSWER)),
    /** Lets a server break its streams off. */
    SERVER_CUTS(200, 2000, serverMode(Mode.CUT_STREAM)),
    /** Lets a server run requests and never answer. */
    SERVER_MUTE(200, 2000, serverMode(Mode.MUTE)),
    /** Lets a server answer for other requests. */
    SERVER_FOREIGN(200, 2000, serverMode(Mode.FOREIGN)),
    /** Lets a server refuse requests before it runs them. */
    SERVER_REFUSES(200, 2000, serverMode(Mode.REFUSE)),
    /** Publishes a new configuration. */
    CONFIGURE(100, 200, (site, target) -> site.configure()),
    /** Takes a failure domain out of service and back. */
    EVACUATE(3000, 8000, (site, target) -> site.evacuate(target));

    /** The shortest and the longest duration in milliseconds. */
    private final int[] mMillis;

    /** What begins the fault. */
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
         * @throws Exception if the fault cannot be brought about
         */
        AutoCloseable begin(SoakSite site, int target) throws Exception;
    }

    /**
     * Creates a fault.
     *
     * @param shortest the shortest duration in milliseconds
     * @param longest the longest duration in milliseconds
     * @param action what begins the fault
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
     * @throws Exception if the fault cannot be brought about
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
     * Changes what a server does.
     *
     * @param mode what it does
     * @return the action
     */
    private static Action serverMode(Mode mode) {
        return (site, target) -> site.server(target).mode(mode);
    }
}
