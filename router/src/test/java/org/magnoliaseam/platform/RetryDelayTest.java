package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliaseam.pushback.NoticeFault;
import org.magnoliaseam.pushback.PushbackNotice;

/** Tests the meaning of retry delays, also of faulty ones. */
class RetryDelayTest {

    private static PushbackNotice read(int status, String... values) {
        HttpFields.Mutable fields = HttpFields.build();
        for (String value : values) {
            fields.add(HttpHeader.RETRY_AFTER, value);
        }
        return RetryDelay.read(fields, status);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "0.3,300", "30,30000", "2.0004,2001", ".5,500", "300,300000", "1e1,10000"})
    void secondsAndFractionsAreRead(String text, long millis) {
        assertThat(read(503, text).millis()).isEqualTo(millis);
        assertThat(read(503, text).fault()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "soon,0,MALFORMED_DELAY",
        "'',0,MALFORMED_DELAY",
        "NaN,0,MALFORMED_DELAY",
        "0x10,0,MALFORMED_DELAY",
        "'Sat, 05 Dec 2026 12:00:00 GMT',0,MALFORMED_DELAY",
        "-1,0,NEGATIVE_DELAY",
        "1e9,300000,EXCESSIVE_DELAY",
        "1e999,300000,EXCESSIVE_DELAY",
        "300.001,300000,EXCESSIVE_DELAY"
    })
    void faultyValueHasItsMeaning(String text, long millis, NoticeFault fault) {
        assertThat(read(503, text)).isEqualTo(PushbackNotice.faulty(millis, fault));
    }

    @Test
    void longestOfSeveralValuesCounts() {
        assertThat(read(503, "0.3", "2", "soon"))
                .isEqualTo(PushbackNotice.faulty(2000, NoticeFault.SEVERAL_DELAYS));
    }

    @Test
    void delayWithAnotherStatusIsIgnored() {
        PushbackNotice ignored = PushbackNotice.faulty(0, NoticeFault.DELAY_WITH_OTHER_STATUS);
        assertThat(read(429, "2")).isEqualTo(ignored);
        assertThat(read(200, "2")).isEqualTo(ignored);
    }

    @Test
    void answerWithoutAFieldAsksForNothing() {
        assertThat(read(503)).isEqualTo(PushbackNotice.NONE);
    }

    @Property(seed = "20261205", tries = 1000)
    void anyTextGivesATimeWithinTheLimit(@ForAll String text) {
        assertThat(read(503, text).millis()).isBetween(0L, PushbackNotice.MAX_MILLIS);
    }
}
