package org.magnoliaseam.testbed.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.magnoliaseam.testbed.harness.EntryVm;

/** Polls entry VMs for their configuration version and records every decrease. */
final class VersionWatch implements AutoCloseable {

    private static final long POLL_MILLIS = 30;

    private final Map<String, Long> mVersions = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> mDecreases = new ConcurrentLinkedQueue<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mEnded;

    VersionWatch(List<EntryVm> entries) {
        for (EntryVm entry : entries) {
            Thread thread = new Thread(() -> watch(entry), "watch");
            thread.setDaemon(true);
            thread.start();
            mThreads.add(thread);
        }
    }

    /** Returns one line for each lower version that a process reported. */
    List<String> decreases() {
        return List.copyOf(mDecreases);
    }

    /** Returns the number of processes that answered. */
    int processes() {
        return mVersions.size();
    }

    @Override
    public void close() {
        mEnded = true;
        mThreads.forEach(Waits::join);
    }

    private void watch(EntryVm entry) {
        while (!mEnded) {
            try {
                recordVersion(entry, entry.get("/status"));
            } catch (IllegalStateException e) {
                // The process is being replaced; its next run is another process.
            }
            Waits.sleep(POLL_MILLIS);
        }
    }

    private void recordVersion(EntryVm entry, JsonNode status) {
        String process = entry.name() + " " + status.path("incarnation").asText();
        long version = status.path("configurationVersion").asLong();
        Long before = mVersions.put(process, version);
        if (before != null && version < before) {
            mDecreases.add("%s from %d to %d".formatted(process, before, version));
        }
    }
}
