package org.magnoliaseam.leaving;

/**
 * States whether a backend server or an entry VM gets new work. Work in progress is not affected.
 *
 * @param inService whether it gets new work
 * @param reason the reason in a few words
 */
public record ServiceState(boolean inService, String reason) {

    /** The state when there is no reason against new work. */
    static final ServiceState IN_SERVICE = new ServiceState(true, "in service");

    /**
     * Creates the state of a server or VM that gets no new work.
     *
     * @param reason the reason
     * @return the state
     */
    static ServiceState stopped(String reason) {
        return new ServiceState(false, reason);
    }
}
