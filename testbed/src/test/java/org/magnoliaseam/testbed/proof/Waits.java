package org.magnoliaseam.testbed.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BooleanSupplier;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.TestSite;

/** Waits for times and conditions in tests with real processes. */
final class Waits {

    private static final long POLL_MILLIS = 20;
    private static final long WARM_MILLIS = 20_000;

    private Waits() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    static void until(long epochMillis) {
        sleep(Math.max(0, epochMillis - System.currentTimeMillis()));
    }

    /** Waits for a condition, fails after a limit and returns the wait in milliseconds. */
    static long await(String what, long limitMillis, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > limitMillis * 1_000_000) {
                throw new AssertionError(
                        "Condition not met within " + limitMillis + " ms: " + what);
            }
            sleep(POLL_MILLIS);
        }
        return (System.nanoTime() - start) / 1_000_000;
    }

    /** Warms up every engine with reviews, which may wait long, and compares their answers. */
    static void warm(TestSite site) {
        try (BackgroundLoad load = new BackgroundLoad(site, 16, "review", 20, 100)) {
            await("engines warm", WARM_MILLIS, () -> site.entries().stream().allMatch(Waits::warm));
        }
    }

    static boolean warm(EntryVm entry) {
        for (JsonNode server : entry.get("/status").path("backendServers")) {
            if (server.path("id").asText().startsWith("engine")
                    && server.path("cold").asBoolean()) {
                return false;
            }
        }
        return true;
    }
}
