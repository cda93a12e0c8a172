package org.magnoliaseam.publication;

/** Takes what a watch reads. */
@FunctionalInterface
public interface WatchListener {

    /**
     * Takes a value that is newer than the known one.
     *
     * @param body the text of the value
     */
    void changed(String body);
}
