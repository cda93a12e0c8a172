package org.magnoliaseam.publication;

/** Receives the values that a watch reads. */
@FunctionalInterface
public interface WatchListener {

    /**
     * Receives a value that is newer than the known one.
     *
     * @param body the text of the value
     */
    void changed(String body);
}
