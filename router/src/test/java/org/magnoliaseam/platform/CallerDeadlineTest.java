package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how long a caller waits. */
class CallerDeadlineTest {

    private static final long TIMEOUT_MILLIS = 5000;

    /** Guards against a deadline that is ignored because it is a fraction. */
    @ParameterizedTest
    @CsvSource({
        "600,600",
        "599.5,599",
        "0.25,0",
        "-3,0",
        "999999999999999999,1000000000000000000",
        "1000000000000000000000,5000",
        "soon,5000",
        "'',5000",
        ",5000"
    })
    void deadlineIsRead(String text, long millis) {
        assertThat(CallerDeadline.millis(text, TIMEOUT_MILLIS)).isEqualTo(millis);
    }
}
