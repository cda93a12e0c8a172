package org.magnoliaseam.suspect;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which requests are refused after crashes of backend servers. */
class CrashRecordsTest extends CrashRecordsFixture {

    /** Tests requests that differ and have a part in common. */
    @Nested
    class Parts {
        @Test
        void partIsRefusedAfterTwoCrashesByDifferentRequests() {
            crash(1, 1000, CRASHING, whole(1));
            assertThat(verdict(1001, CRASHING, whole(2))).isEqualTo(SuspectVerdict.GUARDED);
            crash(2, 1500, CRASHING, whole(2));
            assertThat(verdict(1501, CRASHING, whole(3))).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(1501, OTHER, whole(4))).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void soundRequestsWithTheOtherPartsOfTheCauseAreNotRefused() {
            crash(1, 1000, BASE, ACCOUNT, CRASHING, whole(1));
            crash(2, 1500, BASE, ACCOUNT, CRASHING, whole(2));
            crash(3, 2000, BASE, ACCOUNT, CRASHING, whole(3));
            assertThat(verdict(2001, BASE, ACCOUNT, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(2001, BASE, ACCOUNT)).isEqualTo(SuspectVerdict.GUARDED);
            mRecords.answered(BASE, millis(2100));
            mRecords.answered(ACCOUNT, millis(2100));
            assertThat(verdict(2101, BASE, ACCOUNT)).isEqualTo(SuspectVerdict.FREE);
            assertThat(verdict(2101, BASE, ACCOUNT, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(2101, OTHER, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void sameRequestAtTwoCrashesDoesNotHaveOthersWithItsPartsRefused() {
            crash(1, 1000, ACCOUNT, whole(1));
            crash(2, 1500, ACCOUNT, whole(1));
            assertThat(verdict(1501, ACCOUNT, whole(1))).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(1501, ACCOUNT, whole(2))).isEqualTo(SuspectVerdict.GUARDED);
        }

        @Test
        void requestsThatWereOnlyBesideTheCauseAreFreeOnceItIsFound() {
            crash(1, 1000, CRASHING, whole(1));
            crash(1, 1000, OTHER, whole(9));
            crash(2, 1500, CRASHING, whole(2));
            crash(2, 1500, OTHER, whole(8));
            assertThat(verdict(1501, OTHER, whole(7))).isEqualTo(SuspectVerdict.GUARDED);
            crash(3, 2000, CRASHING, whole(3));
            assertThat(verdict(2001, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(2001, OTHER, whole(7))).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void partWithAnswersBeforeIsNoCause() {
            mRecords.answered(BASE, millis(500));
            for (int crash = 1; crash <= 10; crash++) {
                crash(crash, 1000L + 500 * crash, BASE);
            }
            assertThat(verdict(6501, BASE)).isEqualTo(SuspectVerdict.FREE);
        }
    }

    /** Tests the same request sent again, as to a plain service. */
    @Nested
    class WholeRequests {
        @Test
        void requestThatIsSentAgainIsRefusedAfterTheThirdCrash() {
            crash(1, 1000, whole(1));
            crash(2, 1500, whole(1));
            assertThat(verdict(1501, whole(1))).isEqualTo(SuspectVerdict.GUARDED);
            crash(3, 2000, whole(1));
            assertThat(verdict(2001, whole(1))).isEqualTo(SuspectVerdict.REFUSED);
            assertThat(verdict(2001, whole(2))).isEqualTo(SuspectVerdict.FREE);
        }

        /** Review case 14: copies at one moment counted as one crash, wave after wave. */
        @Test
        void copiesThatEndServersOfSeveralDomainsAtOnceCountOnceForEachDomain() {
            crashIn(1, 1, 1000, whole(1));
            crashIn(2, 2, 1004, whole(1));
            crashIn(1, 3, 1005, whole(1));
            assertThat(verdict(1010, whole(1))).isEqualTo(SuspectVerdict.GUARDED);
            crashIn(3, 4, 1008, whole(1));
            assertThat(verdict(1010, whole(1))).isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void copiesInADomainThatLosesPowerCountOnce() {
            for (int server = 0; server < 6; server++) {
                crashIn(1, server, 1000 + server, whole(1));
            }
            crashIn(2, 7, 3000, whole(2));
            assertThat(verdict(3001, whole(1))).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void usualRequestThatIsAnsweredElsewhereIsNotRefusedInASeriesOfCrashes() {
            for (int crash = 1; crash <= 10; crash++) {
                crash(crash, 1000L + 500 * crash, whole(1));
            }
            assertThat(verdict(6501, whole(1))).isEqualTo(SuspectVerdict.REFUSED);
            mRecords.heard(new AnswerNotice(whole(1), 60_000), millis(6502));
            assertThat(verdict(6503, whole(1))).isEqualTo(SuspectVerdict.FREE);
            crash(11, 7000, whole(1));
            assertThat(verdict(7001, whole(1))).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void longBodiesAreToldApartByLengthBeginAndEnd() {
            byte[] body = new byte[20_000];
            RequestMark mark = RequestMark.ofRequest("a", "POST /x", body);
            assertThat(RequestMark.ofRequest("a", "POST /x", new byte[20_001])).isNotEqualTo(mark);
            body[19_999] = 1;
            assertThat(RequestMark.ofRequest("a", "POST /x", body)).isNotEqualTo(mark);
            assertThat(RequestMark.ofRequest("b", "POST /x", new byte[20_000])).isNotEqualTo(mark);
            assertThat(mark.isWholeRequest()).isTrue();
        }
    }

    /** Tests what entry VMs tell each other. */
    @Nested
    class Notices {
        private void tell(CrashRecords from, CrashRecords to, long fromMillis, long toMillis) {
            List<CrashNotice> notices = new ArrayList<>();
            for (CrashCause cause : from.causes()) {
                for (var report : from.reports(cause).entrySet()) {
                    for (Set<RequestMark> marks : report.getValue()) {
                        from.notice(report.getKey(), marks, millis(fromMillis))
                                .ifPresent(notices::add);
                    }
                }
            }
            notices.forEach(notice -> to.heard(notice, millis(toMillis)));
        }

        @Test
        void crashThatSeveralEntryVmsSawCountsOnce() {
            crash(1, 1000, CRASHING, whole(1));
            CrashNotice notice =
                    new CrashNotice(1, DOMAIN, 3, 90, 3, 3, Set.of(CRASHING, whole(2)), Set.of());
            mRecords.heard(notice, millis(1010));
            assertThat(verdict(1011, CRASHING)).isEqualTo(SuspectVerdict.GUARDED);
        }

        @Test
        void entryVmThatHasJustStartedRefusesWhatOthersRefuse() {
            crash(1, 1000, CRASHING, whole(1));
            crash(2, 1500, CRASHING, whole(2));
            CrashRecords started = new CrashRecords();
            tell(mRecords, started, 5000, 77);
            assertThat(started.verdict(List.of(CRASHING), millis(78)))
                    .isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void trialElsewhereIsNotRepeatedHere() {
            crash(1, 1000, CRASHING);
            crash(2, 1500, CRASHING);
            long later = 11_600;
            assertThat(verdict(later, CRASHING)).isEqualTo(SuspectVerdict.TRIAL);
            mRecords.heard(
                    new CrashNotice(
                            2,
                            DOMAIN,
                            later - 1500,
                            later - 1400,
                            50,
                            100,
                            Set.of(CRASHING),
                            Set.of()),
                    millis(later));
            assertThat(verdict(later, CRASHING)).isEqualTo(SuspectVerdict.REFUSED);
        }

        @Test
        void refusalElsewhereKeepsACauseFromBeingForgotten() {
            crash(1, 1000, CRASHING);
            crash(2, 1500, CRASHING);
            long later = 1500 + TimeUnit.MINUTES.toMillis(11);
            mRecords.heard(
                    new CrashNotice(
                            2,
                            DOMAIN,
                            later - 1500,
                            later - 1400,
                            1000,
                            later - 1500,
                            Set.of(CRASHING),
                            Set.of()),
                    millis(later));
            mRecords.expire(millis(later));
            assertThat(mRecords.cause(List.of(CRASHING))).isPresent();
        }

        @Test
        void answerElsewhereClearsAMark() {
            crash(1, 1000, OTHER);
            assertThat(mRecords.heard(new AnswerNotice(OTHER, 5), millis(1100))).isTrue();
            assertThat(verdict(1101, OTHER)).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void negativeAgesAreReadAsNow() {
            mRecords.heard(
                    new CrashNotice(
                            1, DOMAIN, -50_000, Long.MIN_VALUE, -1, -1, Set.of(CRASHING), Set.of()),
                    millis(1000));
            mRecords.heard(new AnswerNotice(CRASHING, -1), millis(1001));
            assertThat(verdict(1002, CRASHING)).isEqualTo(SuspectVerdict.FREE);
        }
    }

    /** Tests a caller that wants requests of others refused. */
    @Nested
    class Attack {
        @Test
        void partsOfOthersAreNotRefusedWithTheOneOfTheAttacker() {
            for (int crash = 1; crash <= 6; crash++) {
                crash(crash, 1000L * crash, OTHER, CRASHING, whole(crash));
            }
            assertThat(verdict(6001, OTHER, whole(77))).isEqualTo(SuspectVerdict.GUARDED);
            mRecords.answered(OTHER, millis(6100));
            assertThat(verdict(6101, OTHER)).isEqualTo(SuspectVerdict.FREE);
        }

        @Test
        void recordsAreBounded() {
            Set<Long> kept = new HashSet<>();
            for (int crash = 0; crash < 5000; crash++) {
                List<RequestMark> marks = new ArrayList<>();
                marks.add(part("p" + crash));
                mRecords.crashed(crash, DOMAIN, millis(crash), millis(crash - 1), marks);
                mRecords.answered(part("a" + crash), millis(crash));
            }
            for (long crash = 0; crash < 5000; crash++) {
                Set<RequestMark> marks = Set.of(part("p" + crash));
                if (mRecords.notice(crash, marks, millis(6000)).isPresent()) {
                    kept.add(crash);
                }
            }
            assertThat(kept).hasSizeLessThanOrEqualTo(CrashRecords.MAX_CRASHES);
        }
    }

    /** Tests the largest records. */
    @Nested
    class Size {
        private static final int REQUESTS = 16;
        private static final Duration LIMIT = Duration.ofSeconds(20);

        @Test
        void decisionsKeepPaceWhenManyServersCrashWithManyRequests() {
            assertTimeoutPreemptively(LIMIT, this::crashAll);
        }

        private void crashAll() {
            Random random = new Random(5);
            for (int server = 0; server < CrashRecords.MAX_CRASHES; server++) {
                for (int i = 0; i < REQUESTS; i++) {
                    RequestMark[] marks = {
                        part("base " + random.nextInt(12)),
                        part("document " + random.nextInt(300)),
                        part("conversation " + random.nextInt(3000)),
                        RequestMark.ofRequest("account", server + " " + i, new byte[0])
                    };
                    crash(server, 1000 + 50 * server, marks);
                    verdict(1000 + 50 * server, marks);
                }
            }
        }
    }
}
