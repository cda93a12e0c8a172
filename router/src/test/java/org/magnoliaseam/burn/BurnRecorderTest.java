package org.magnoliaseam.burn;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.explain.DecisionRecord;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;

/** Tests the counts, the causes and the report on service-level burn. */
class BurnRecorderTest {

    private final RecordFixtures mRecords = new RecordFixtures();

    private Configuration mConfiguration = RecordFixtures.configuration("").configuration();

    private final BurnRecorder mLedger =
            new BurnRecorder(
                    new VmId("entry-1"), () -> Optional.of(mConfiguration), () -> mRecords.mNanos);

    private RecordBuilder chat() {
        return mRecords.arrived("entry-1", RecordFixtures.CHAT, "port-office");
    }

    private DecisionRecord completed(long queueMillis, long firstTokenMillis) {
        RecordBuilder record = chat();
        mRecords.queue(record, queueMillis);
        mRecords.send(record, "engine-1");
        mRecords.answer(record, "engine-1", firstTokenMillis);
        return record.build("completed", "yes", true);
    }

    private DecisionRecord refused(String kind) {
        RecordBuilder record = chat();
        record.add(RecordEventKind.REFUSED, kind, "");
        return record.build(kind, "no", false);
    }

    private ClassBurn report() {
        BurnReport report = BurnReport.of(mLedger.read(), List.of(), mConfiguration);
        return report.classes().stream()
                .filter(burn -> burn.id().equals(RecordFixtures.CHAT))
                .findFirst()
                .orElseThrow();
    }

    private BurnCount count(BurnWindow window) {
        return report().windows().get(window.ordinal());
    }

    private Optional<String> cause(DecisionRecord record) {
        return BurnClassifier.cause(record, mConfiguration);
    }

    /** Tests the causes of missed targets. */
    @Nested
    class Causes {

        @Test
        void answerInTimeHasNoCause() {
            assertThat(cause(completed(100, 100))).isEmpty();
        }

        @Test
        void queueWaitIsNamedIfRemainingTimeMeetsTarget() {
            assertThat(cause(completed(900, 100))).contains("queue_wait");
        }

        @Test
        void slowBackendServerIsNamedIfItsTimeAloneMissesTarget() {
            assertThat(cause(completed(900, 960))).contains("backend_server");
        }

        @Test
        void refusalIsNamedWithItsKind() {
            assertThat(cause(refused("overloaded"))).contains("refusal.overloaded");
        }

        @Test
        void retryIsNamedForLateAnswer() {
            RecordBuilder record = chat();
            record.add(RecordEventKind.TRY_FAILED, "engine-1", "The connection was reset.");
            record.add(RecordEventKind.RETRIED, "engine-1", "RESET");
            mRecords.answer(record, "engine-2", 2_000);
            assertThat(cause(record.build("completed", "yes", true))).contains("retry");
        }

        @Test
        void preemptionIsNamed() {
            RecordBuilder record = chat();
            record.add(RecordEventKind.PREEMPTED, "engine-1", "For request id-2: tier 1.");
            mRecords.answer(record, "engine-1", 2_000);
            assertThat(cause(record.build("completed", "yes", true))).contains("preemption");
        }

        @Test
        void domainOutOfServiceIsNamed() {
            mConfiguration = RecordFixtures.configuration("\"flanders-1\"").configuration();
            RecordBuilder record = chat();
            record.add(RecordEventKind.HELD_BACK, "engine-1", "The facts no longer allow it.");
            mRecords.answer(record, "engine-2", 2_000);
            assertThat(cause(record.build("completed", "yes", true)))
                    .contains("failure_domain_move");
        }
    }

    /** Tests which requests are counted, and for how long. */
    @Nested
    class Counts {

        @Test
        void callerFaultsAreNotCounted() {
            for (String kind : List.of("caller_gone", "account_limit", "ticket_required")) {
                mLedger.accept(refused(kind));
            }
            assertThat(count(BurnWindow.THREE_DAYS)).isEqualTo(BurnCount.NONE);
        }

        @Test
        void requestFromPeerIsCountedByFailureDomainOnly() {
            RecordBuilder record =
                    mRecords.arrived(
                            "entry-1",
                            RecordFixtures.CHAT,
                            "port-office",
                            Optional.of(ForwardPurpose.HAND_OVER));
            mRecords.send(record, "engine-1");
            mRecords.answer(record, "engine-1", 10);
            mLedger.accept(record.build("completed", "yes", true));
            assertThat(count(BurnWindow.THREE_DAYS)).isEqualTo(BurnCount.NONE);
            assertThat(report().accounts()).isEmpty();
            assertThat(report().failureDomains())
                    .extracting(BurnPart::name)
                    .containsExactly("flanders-1");
        }

        @Test
        void countsExpireAfterWindowLength() {
            mLedger.accept(refused("overloaded"));
            mRecords.pass(TimeUnit.MINUTES.toMillis(6));
            assertThat(count(BurnWindow.FIVE_MINUTES)).isEqualTo(BurnCount.NONE);
            assertThat(count(BurnWindow.ONE_HOUR)).isEqualTo(new BurnCount(1, 1));
            mRecords.pass(TimeUnit.DAYS.toMillis(3));
            assertThat(count(BurnWindow.THREE_DAYS)).isEqualTo(BurnCount.NONE);
        }

        @Test
        void namesBeyondTheLimitAreCountedTogether() {
            for (int i = 0; i < BurnRecorder.MAX_SERIES + 100; i++) {
                RecordBuilder record =
                        mRecords.arrived("entry-1", RecordFixtures.CHAT, "account-" + i);
                mLedger.accept(record.build("overloaded", "no", false));
            }
            assertThat(mLedger.read().windows())
                    .hasSizeLessThanOrEqualTo(BurnRecorder.MAX_SERIES + 4)
                    .containsKey(
                            new BurnKey(
                                    RecordFixtures.CHAT,
                                    BurnDimension.ACCOUNT,
                                    BurnRecorder.OTHER));
            assertThat(report().accounts()).hasSize(BurnReport.TOP_ACCOUNTS);
        }
    }

    /** Tests the report and its formats. */
    @Nested
    class Reports {

        private void countRequests(int good, int bad) {
            for (int i = 0; i < good; i++) {
                mLedger.accept(completed(1, 1));
            }
            for (int i = 0; i < bad; i++) {
                mLedger.accept(refused("overloaded"));
            }
        }

        @Test
        void rateAboveBothThresholdsIsFastBurn() {
            countRequests(80, 20);
            assertThat(report().rates().get(0)).isBetween(19.9, 20.1);
            assertThat(report().state()).isEqualTo(BurnState.FAST_BURN);
        }

        @Test
        void burnThatHasStoppedIsNotFast() {
            countRequests(80, 20);
            mRecords.pass(TimeUnit.MINUTES.toMillis(6));
            assertThat(report().state()).isEqualTo(BurnState.SLOW_BURN);
        }

        @Test
        void missesWithinBudgetAreOk() {
            countRequests(99, 1);
            assertThat(report().state()).isEqualTo(BurnState.OK);
        }

        @Test
        void countsOfTwoEntryVmsAreAdded() {
            countRequests(3, 1);
            BurnCounts own = mLedger.read();
            BurnCounts peer = BurnCountsJson.decode(BurnCountsJson.encode(own)).orElseThrow();
            BurnReport report =
                    BurnReport.of(own.plus(peer), List.of(new VmId("entry-3")), mConfiguration);
            assertThat(report.sources()).hasSize(2);
            assertThat(report.classes())
                    .filteredOn(burn -> burn.id().equals(RecordFixtures.CHAT))
                    .extracting(burn -> burn.windows().get(0))
                    .containsExactly(new BurnCount(8, 2));
            assertThat(BurnText.render(report))
                    .contains("NO ANSWER from entry-3", "refusal.overloaded", "FAST BURN");
            assertThat(BurnJson.render(report)).contains("\"notAnswered\" : [ \"entry-3\" ]");
            assertThat(BurnHtml.render(report))
                    .contains("<svg", "NO ANSWER from entry-3", "inspector-lookup: fast burn")
                    .doesNotContain("http://", "https://", "<script", "NaN");
        }

        @Test
        void malformedCountsOfPeersAreRejected() {
            for (String text : List.of("", "x", "{\"windows\":[{}]}", "{\"sources\":[{}]}")) {
                assertThat(BurnCountsJson.decode(text)).isEmpty();
            }
        }
    }
}
