package org.magnoliaseam.caller;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the counts of connections that ended without an answer. */
class ConnectionNoticesTest {

    @Test
    void endsAreCountedByReason() {
        ConnectionNotices notices = new ConnectionNotices(System::nanoTime);
        notices.ended(UnansweredEnd.IDLE, null);
        notices.ended(UnansweredEnd.IDLE, null);
        assertThat(notices.count(UnansweredEnd.IDLE)).isEqualTo(2);
        assertThat(notices.count(UnansweredEnd.EXCEPTION)).isZero();
    }
}
