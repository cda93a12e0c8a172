package org.magnoliaseam.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what refutes a supposed crash, and how a refusal ends. */
class CrashRefutationTest extends CrashRecordsFixture {

    /** Tests ends of backend servers that no request caused. */
    @Nested
    class OtherCauses {
        @Test
        void serversThatEndTogetherCountOnce() {
            crash(1, 1000, CRASHING, whole(1));
            crash(2, 1001, CRASHING, whole(2));
            crash(3, 1002, CRASHING, whole(3));
            assertThat(verdict(1003, CRASHING)).isEqualTo(SuspectVerdict.GUARDED);
        }

        @Test
        void serverThatGoesOnWithAnAnswerHasNotCrashed() {
            crash(1, 1000, CRASHING, whole(1));
            assertThat(mRecords.lived(1, millis(900), millis(1050))).isEmpty();
            assertThat(mRecords.lived(1, millis(1010), millis(1200))).isEmpty();
            assertThat(mRecords.lived(1, millis(900), millis(1200))).containsExactly(1L);
            assertThat(verdict(1201, CRASHING)).isEqualTo(SuspectVerdict.FREE);
            crash(1, 1300, CRASHING, whole(2));
            assertThat(verdict(1301, CRASHING)).isEqualTo(SuspectVerdict.FREE);
        }

        /** A start that had once survived a lost connection was never recorded again. */
        @Test
        void serverThatSurvivedALossAndCrashesLaterCounts() {
            crash(1, 1000, OTHER, whole(1));
            mRecords.lived(1, millis(900), millis(1200));
            crash(1, 4300, CRASHING, whole(2));
            crash(2, 5000, CRASHING, whole(3));
            assertThat(verdict(5001, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void eachCrashOfAStartIsRefutedByItself() {
            crash(1, 1000, CRASHING, whole(1));
            long second = mRecords.crashOf(1, millis(1400));
            crash(second, 1500, CRASHING, whole(2));
            assertThat(mRecords.lived(1, millis(1300), millis(1700))).contains(second);
            assertThat(verdict(1701, CRASHING)).isEqualTo(SuspectVerdict.GUARDED);
            assertThat(mRecords.lived(1, millis(900), millis(1700))).contains(1L);
            assertThat(verdict(1701, CRASHING)).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void serverThatIsNotPublishedAnewCrashesAgain() {
            crash(1, 1000, CRASHING, whole(1));
            assertThat(mRecords.crashOf(1, millis(990))).isEqualTo(1);
            long second = mRecords.crashOf(1, millis(1400));
            assertThat(second).isNotEqualTo(1);
            crash(second, 1500, CRASHING, whole(2));
            assertThat(verdict(1501, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void answerBetweenTwoCrashesClearsTheFirst() {
            crash(1, 1000, OTHER);
            mRecords.answered(OTHER, millis(1200));
            crash(2, 1500, OTHER);
            assertThat(verdict(1501, OTHER)).isEqualTo(SuspectVerdict.FREE);
        }

        /**
         * Sound requests with random parts meet random crashes; each is answered when it is sent
         * again to a server that does not crash. None may be refused for good.
         */
        @Property(tries = 200, seed = "17")
        void soundPartsAreAnsweredAgain(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
            Random random = new Random(seed);
            CrashRecords records = new CrashRecords();
            for (int crash = 1; crash <= 40; crash++) {
                long now = crash * 2000L;
                for (int request = 0; request < 3; request++) {
                    List<RequestMark> marks =
                            List.of(
                                    part("base" + random.nextInt(3)),
                                    part("part" + random.nextInt(200)),
                                    whole(random.nextInt(100)));
                    records.crashed(crash, DOMAIN, millis(now), millis(now - 100), marks);
                    boolean refused =
                            records.verdict(marks, millis(now + 1)) == SuspectVerdict.REFUSED;
                    assertThat(refused).isFalse();
                    marks.forEach(mark -> records.answered(mark, millis(now + 300)));
                }
            }
        }
    }

    /** Tests how a refusal ends. */
    @Nested
    class End {
        /** Review case 13: each refusal put off the trial that would have ended it. */
        @Test
        void oneRequestIsTriedWhileTheyCome() {
            crash(1, 1000, CRASHING);
            crash(2, 1500, CRASHING);
            long now = 1500;
            for (; now < 11_500; now += 100) {
                assertThat(verdict(now, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
                mRecords.used(mRecords.cause(List.of(CRASHING)).orElseThrow(), millis(now));
                mRecords.expire(millis(now));
            }
            assertThat(verdict(now, CRASHING)).isEqualTo(SuspectVerdict.TRIAL);
            mRecords.tried(mRecords.cause(List.of(CRASHING)).orElseThrow(), millis(now));
            assertThat(verdict(now + 1, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            mRecords.answered(CRASHING, millis(now + 300));
            assertThat(verdict(now + 301, CRASHING)).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void trialsBecomeRarerWithEachCrash() {
            crash(1, 1000, CRASHING);
            crash(2, 1500, CRASHING);
            crash(3, 12_000, CRASHING);
            assertThat(verdict(21_999, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(22_000, CRASHING)).isEqualTo(SuspectVerdict.TRIAL);
            crash(4, 23_000, CRASHING);
            assertThat(verdict(62_999, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(63_000, CRASHING)).isEqualTo(SuspectVerdict.TRIAL);
            crash(5, 64_000, CRASHING);
            assertThat(verdict(223_999, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(224_000, CRASHING)).isEqualTo(SuspectVerdict.TRIAL);
        }

        @Test
        void entryVmsTakeTurnsInTrials() {
            crash(1, 1000, CRASHING);
            crash(2, 1500, CRASHING);
            long lastDue = 0;
            int lastRank = -1;
            Set<Integer> ranks = new HashSet<>();
            for (long now = 1500; now < 30_000; now += 10) {
                for (int rank = 0; rank < 5; rank++) {
                    mRecords.trialTurns(rank, 5);
                    if (verdict(now, CRASHING) == SuspectVerdict.TRIAL) {
                        assertThat(rank == lastRank || now - lastDue > 500).isTrue();
                        lastDue = now;
                        lastRank = rank;
                        ranks.add(rank);
                    }
                }
            }
            assertThat(ranks).hasSize(5);
            mRecords.trialTurns(0, 0);
            assertThat(verdict(30_000, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void noneIsTriedAfterTheSixthCrash() {
            long now = 0;
            int trials = 0;
            for (int crash = 1; crash < 30; crash++) {
                now += 61_000;
                if (verdict(now, CRASHING) != SuspectVerdict.REFUSED) {
                    trials++;
                    crash(crash, now + 100, CRASHING, whole(crash));
                } else {
                    List<RequestMark> marks = List.of(CRASHING);
                    mRecords.used(mRecords.cause(marks).orElseThrow(), millis(now));
                }
                mRecords.expire(millis(now));
            }
            assertThat(trials).isEqualTo(6);
        }

        @Test
        void crashesAreForgottenAfterTenMinutes() {
            crash(1, 1000, CRASHING);
            mRecords.expire(millis(1000) + TimeUnit.MINUTES.toNanos(10));
            assertThat(mRecords.isEmpty()).isFalse();
            mRecords.expire(millis(1001) + TimeUnit.MINUTES.toNanos(10));
            assertThat(mRecords.isEmpty()).isTrue();
        }
    }
}
