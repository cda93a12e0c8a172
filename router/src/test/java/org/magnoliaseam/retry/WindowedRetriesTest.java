package org.magnoliaseam.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limit of retries in a sliding window. */
class WindowedRetriesTest {

    private static final long SECOND = 1_000_000_000L;

    @Test
    void limitsRetriesOfAllEntryVmsToFractionAndAllowance() {
        int retries = 0;
        for (int vm = 0; vm < 30; vm++) {
            WindowedRetries limit = new WindowedRetries();
            for (int i = 0; i < 100; i++) {
                limit.firstTry(i * SECOND / 20);
                retries += limit.take(0.2, 190.0 / 30, i * SECOND / 20) ? 1 : 0;
            }
        }
        assertThat(retries).isBetween(500, (int) (0.2 * 30 * 100 + 190));
    }

    @Test
    void savesNoRetriesForLaterWindows() {
        WindowedRetries limit = new WindowedRetries();
        for (int i = 0; i < 1000; i++) {
            limit.firstTry(i * SECOND / 100);
        }
        int retries = 0;
        while (retries < 100 && limit.take(0.2, 2, 60 * SECOND)) {
            retries++;
        }
        assertThat(retries).isEqualTo(2);
    }
}
