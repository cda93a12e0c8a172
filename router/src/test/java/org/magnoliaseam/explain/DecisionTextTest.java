package org.magnoliaseam.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.exchange.ForwardPurpose;

/** Tests that the text about a request states its outcome and the actual cause. */
class DecisionTextTest {

    private final RecordFixtures mRecords = new RecordFixtures();

    private RecordBuilder chat() {
        return mRecords.arrived("entry-1", RecordFixtures.CHAT, "port-office");
    }

    private static String cause(String text) {
        return text.substring(text.indexOf("\nCause: "));
    }

    private static String outcome(String text) {
        return text.substring(text.indexOf("\nOutcome: "), text.indexOf("\nCause: "));
    }

    /** Tests requests that one entry VM served. */
    @Nested
    class OneEntryVm {

        @Test
        void refusedRequestWasNotRun() {
            RecordBuilder record = chat();
            mRecords.queue(record, 2_000);
            record.add(RecordEventKind.REFUSED, "queue_timeout", "No slot within 2000 ms.");
            String text = DecisionText.render(List.of(record.build("queue_timeout", "no", false)));
            assertThat(text)
                    .contains("class inspector-lookup (tier 1)", "account port-office")
                    .contains("configuration version 7 with digest ");
            assertThat(outcome(text)).contains("queue_timeout", "The request was not run.");
            assertThat(cause(text)).contains("No slot within 2000 ms.");
        }

        @Test
        void retriedRequestNamesFailedAttempt() {
            RecordBuilder record = chat();
            mRecords.send(record, "engine-1");
            record.add(RecordEventKind.TRY_FAILED, "engine-1", "The connection was reset.");
            record.add(RecordEventKind.RETRIED, "engine-1", "RESET");
            mRecords.send(record, "engine-2");
            mRecords.answer(record, "engine-2", 100);
            String text = DecisionText.render(List.of(record.build("completed", "yes", true)));
            assertThat(text).contains("chose backend server engine-2: tier 1, least loaded of 2.");
            assertThat(outcome(text)).contains("with 2 tries", "within its targets");
            assertThat(cause(text)).contains("engine-1", "The connection was reset.");
        }

        @Test
        void preemptedAndResumedRequestNamesPreemptingRequest() {
            RecordBuilder record = chat();
            mRecords.send(record, "engine-1");
            record.token();
            record.add(RecordEventKind.PREEMPTED, "engine-1", "For request id-9: tier 1 waits.");
            record.add(RecordEventKind.TRY_FAILED, "engine-1", "The try was cancelled.");
            mRecords.send(record, "engine-2");
            record.add(RecordEventKind.RESUMED, "engine-2", "The caller has 1 tokens.");
            mRecords.answer(record, "engine-2", 5_000);
            String text = DecisionText.render(List.of(record.build("completed", "yes", true)));
            assertThat(outcome(text)).contains("The caller got the whole answer");
            assertThat(cause(text))
                    .contains("cancelled at engine-1", "For request id-9", "resumed at engine-2")
                    .doesNotContain("The try was cancelled.");
        }

        @Test
        void unknownOutcomeIsStated() {
            RecordBuilder record =
                    mRecords.arrived("entry-1", RecordFixtures.RELEASE, "port-office");
            record.add(RecordEventKind.TICKET, "entry-1/a/1", "Run.");
            mRecords.send(record, "ledger-1");
            record.add(RecordEventKind.TRY_FAILED, "ledger-1", "No answer within 3000 ms.");
            record.add(RecordEventKind.REFUSED, "outcome_unknown", "The only try may have run.");
            String text =
                    DecisionText.render(List.of(record.build("outcome_unknown", "unknown", false)));
            assertThat(text).contains("issued it and it was unused");
            assertThat(outcome(text)).contains("Whether the request was run is unknown.");
            assertThat(cause(text)).contains("ledger-1", "No answer within 3000 ms.");
        }

        @Test
        void slowBackendServerIsNamed() {
            RecordBuilder record = chat();
            mRecords.send(record, "engine-1");
            mRecords.answer(record, "engine-1", 5_000);
            String text = DecisionText.render(List.of(record.build("completed", "yes", true)));
            assertThat(outcome(text)).contains("later than its targets allow");
            assertThat(cause(text)).contains("engine-1 was slow");
        }
    }

    /** Tests requests that several entry VMs served. */
    @Nested
    class SeveralEntryVms {

        @Test
        void handedOverRequestIsDescribedInTimeOrder() {
            RecordBuilder own = chat();
            own.add(RecordEventKind.HANDED_OVER, "entry-2", "would miss its target here");
            RecordBuilder peer =
                    mRecords.arrived(
                            "entry-2",
                            RecordFixtures.CHAT,
                            "port-office",
                            Optional.of(ForwardPurpose.HAND_OVER));
            mRecords.pass(10);
            mRecords.send(peer, "engine-3");
            mRecords.answer(peer, "engine-3", 100);
            mRecords.answer(own, "entry-2", 1);
            DecisionRecord first = own.build("completed", "yes", true);
            DecisionRecord second = peer.build("completed", "yes", true);
            String text = DecisionText.render(List.of(second, first));
            assertThat(text)
                    .containsSubsequence(
                            "entry-1: The request POST /path arrived",
                            "handed over to entry VM entry-2: would miss its target here.",
                            "entry-2: The dispatcher chose backend server engine-3",
                            "entry-1: The answer from entry-2 is whole.");
            assertThat(cause(text)).contains("handed over", "would miss its target here");
        }

        @Test
        void missingFirstRecordIsStated() {
            RecordBuilder peer =
                    mRecords.arrived(
                            "entry-2",
                            RecordFixtures.RELEASE,
                            "port-office",
                            Optional.of(ForwardPurpose.TICKET_HOME));
            assertThat(DecisionText.render(List.of(peer.build("completed", "yes", true))))
                    .contains("The record of the entry VM that the caller was connected to")
                    .contains("because its ticket was issued here");
        }
    }

    /** Tests the conversion of records to JSON and back. */
    @Nested
    class JsonConversion {

        @Test
        void recordReadsBackAsWritten() {
            RecordBuilder record = chat();
            mRecords.send(record, "engine-1");
            mRecords.answer(record, "engine-1", 10);
            DecisionRecord built = record.build("completed", "yes", true);
            assertThat(RecordReader.of(RecordJson.of(built))).contains(built);
            assertThat(RecordReader.array(RecordJson.array(List.of(built)).toString()))
                    .contains(List.of(built));
        }

        @Test
        void malformedTextIsRejected() {
            for (String text : List.of("", "{}", "x", "5")) {
                assertThat(RecordReader.array(text)).isEmpty();
            }
        }
    }
}
