package org.magnoliaseam.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliaseam.rollout.PublisherContact.Failure;

/** Tests what counts as lost contact and as an outage. */
class PublisherContactTest {

    private static final Duration HEARTBEAT = Duration.ofMillis(1200);

    private final PublisherContact mContact = new PublisherContact(HEARTBEAT, 0);

    private static long at(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against a cut watch that counts as an outage, however long it had waited. */
    @ParameterizedTest
    @CsvSource({"1", "1000", "19000"})
    void cutThatIsAnsweredAgainAtOnceIsNoOutage(long waited) {
        assertThat(mContact.failed(Failure.CUT, at(0), at(waited))).isFalse();
        assertThat(mContact.isLost()).isFalse();
        PublisherContact.Regained regained = mContact.answered(at(waited + 200));
        assertThat(regained.lost()).isFalse();
        assertThat(regained.outage()).isFalse();
    }

    @Test
    void cutThatIsNotAnsweredSoonIsAnOutage() {
        mContact.failed(Failure.CUT, at(0), at(1000));
        assertThat(mContact.failed(Failure.NO_ANSWER, at(1010), at(1020))).isTrue();
        assertThat(mContact.failed(Failure.NO_ANSWER, at(1500), at(1510))).isFalse();
        PublisherContact.Regained regained = mContact.answered(at(2200));
        assertThat(regained.failures()).isEqualTo(3);
        assertThat(regained.lost()).isTrue();
        assertThat(regained.outage()).isTrue();
    }

    @Test
    void refusalsOfAShortTimeLoseContactWithoutAnOutage() {
        assertThat(mContact.failed(Failure.NO_ANSWER, at(1000), at(1004))).isTrue();
        PublisherContact.Regained regained = mContact.answered(at(1400));
        assertThat(regained.lost()).isTrue();
        assertThat(regained.outage()).isFalse();
        assertThat(mContact.isLost()).isFalse();
    }

    @Test
    void callWithoutAnAnswerCountsFromItsStart() {
        mContact.failed(Failure.NO_ANSWER, at(1000), at(3400));
        assertThat(mContact.answered(at(3410)).outage()).isTrue();
    }

    @Test
    void outageEndsWithTheFirstAnswer() {
        mContact.failed(Failure.NO_ANSWER, at(0), at(2400));
        mContact.answered(at(2500));
        assertThat(mContact.awayNanos(at(2600))).isEqualTo(at(100));
        mContact.failed(Failure.CUT, at(2500), at(3500));
        assertThat(mContact.answered(at(3510)).outage()).isFalse();
    }
}
