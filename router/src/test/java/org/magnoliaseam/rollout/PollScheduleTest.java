package org.magnoliaseam.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the rate of reads that reach the platform, and the delay of a read after failures. */
class PollScheduleTest {

    private static final int VMS = 350;
    private static final int RESOURCES = 2;
    private static final int PLATFORM_READS_PER_SECOND = 2000;
    private static final int SECONDS = 120;

    /** Simulates all VMs and returns the largest number of reads in one second. */
    private static int maxReadsPerSecond(
            int siteVms, int outageFromSecond, int outageToSecond, int changeIntervalSeconds) {
        int[] reads = new int[SECONDS];
        List<PollSchedule> schedules = new ArrayList<>();
        for (int i = 0; i < VMS * RESOURCES; i++) {
            schedules.add(new PollSchedule(new Random(i), 0));
        }
        for (long millis = 0; millis < SECONDS * 1000L; millis += 10) {
            long now = TimeUnit.MILLISECONDS.toNanos(millis);
            int second = (int) (millis / 1000);
            boolean changed = millis % (changeIntervalSeconds * 1000L) == 0;
            boolean outage = second >= outageFromSecond && second < outageToSecond;
            for (int i = 0; i < schedules.size(); i++) {
                PollSchedule schedule = schedules.get(i);
                boolean watcher = i / RESOURCES % siteVms < PollSchedule.WATCHERS;
                if (changed) {
                    schedule.hint(now);
                }
                if (schedule.next().atNanos() <= now) {
                    reads[second]++;
                    ReadOutcome outcome = outage ? ReadOutcome.FAILED : ReadOutcome.ANSWERED;
                    schedule.finished(outcome, watcher, now);
                }
            }
        }
        return Arrays.stream(reads).max().orElseThrow();
    }

    /**
     * Tests that the largest number of reads in one second stays below a third of the limit of the
     * platform.
     */
    @Nested
    class WorstSecond {
        @Test
        void restartOfEveryVm() {
            int maxReads = maxReadsPerSecond(VMS, 0, 0, SECONDS + 1);
            assertThat(maxReads)
                    .as("reads in the worst second")
                    .isLessThan(PLATFORM_READS_PER_SECOND / 3);
        }

        @Test
        void restartOfEveryVmWithAnOutageAndAChangeEverySecond() {
            int maxReads = maxReadsPerSecond(VMS, 0, 40, 1);
            assertThat(maxReads)
                    .as("reads in the worst second")
                    .isLessThan(PLATFORM_READS_PER_SECOND / 3);
        }

        @Test
        void restartAndPermanentOutageWithSitesOfFiveVmsOfWhichThreeWatch() {
            int maxReads = maxReadsPerSecond(5, 0, SECONDS, 1);
            assertThat(maxReads)
                    .as("reads in the worst second")
                    .isLessThan(PLATFORM_READS_PER_SECOND / 3);
        }
    }

    /** Tests when the platform is read again after an outage. */
    @Nested
    class AfterAnOutage {

        private static final long CONFIGURATION_LIMIT_MILLIS = 7_000;
        private static final long PEER_DELAY_MILLIS = 2_000;

        @Test
        void watcherReadsSoonEnoughAfterAnyNumberOfFailures() {
            PollSchedule schedule = new PollSchedule(new Random(8), 0);
            for (int failures = 1; failures <= 200; failures++) {
                PlatformRead next = schedule.finished(ReadOutcome.FAILED, true, 0);
                assertThat(TimeUnit.NANOSECONDS.toMillis(next.atNanos()))
                        .as("wait after %d failures", failures)
                        .isLessThan(CONFIGURATION_LIMIT_MILLIS - PEER_DELAY_MILLIS);
            }
        }
    }
}
