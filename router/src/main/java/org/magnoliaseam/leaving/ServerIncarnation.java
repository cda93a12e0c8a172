package org.magnoliaseam.leaving;

import org.magnoliaseam.model.BackendServerId;

/**
 * Identifies one start of a backend server.
 *
 * @param id the backend server
 * @param startMark a number that grows with each start under the same id; 0 if unknown
 */
public record ServerIncarnation(BackendServerId id, long startMark) {

    /**
     * Tells whether this start of a backend server came after another one under the same id.
     *
     * @param other the other start
     * @return true if both start marks are known and this one is larger
     */
    public boolean isLaterThan(ServerIncarnation other) {
        return other.startMark() != 0 && startMark > other.startMark();
    }
}
