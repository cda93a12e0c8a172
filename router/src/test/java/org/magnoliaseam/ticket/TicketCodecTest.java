package org.magnoliaseam.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.VmId;

/** Tests the text form of tickets. */
class TicketCodecTest {

    private static final Ticket TICKET =
            new Ticket(
                    new VmId("entry-1"),
                    new Incarnation(-5),
                    7,
                    1234,
                    20_000,
                    new ClientAccountId("school"),
                    new RequestClassId("enrolment"));

    private final TicketCodec mCodec = new TicketCodec(bytes("site secret"));

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Tests texts that an entry VM issued. */
    @Nested
    class Issued {
        @Test
        void isReadBackUnchanged() {
            assertThat(mCodec.decode(mCodec.encode(TICKET)))
                    .isEqualTo(new DecodedTicket.Valid(TICKET));
        }
    }

    /** Tests texts that no entry VM of the site issued. */
    @Nested
    class NotIssued {
        @Test
        void otherSecretIsForged() {
            String text = new TicketCodec(bytes("other secret")).encode(TICKET);
            assertThat(mCodec.decode(text)).isEqualTo(new DecodedTicket.Forged());
        }

        @Test
        void invalidBase64OrTooLongIsMalformed() {
            assertThat(mCodec.decode("%%%")).isEqualTo(new DecodedTicket.Malformed());
            assertThat(mCodec.decode("")).isEqualTo(new DecodedTicket.Malformed());
            assertThat(mCodec.decode("A".repeat(TicketCodec.MAX_TEXT_LENGTH + 1)))
                    .isEqualTo(new DecodedTicket.Malformed());
        }
    }

    /**
     * Checks that no change of one character yields another ticket.
     *
     * @param position the index of the changed character, modulo the length of the text
     * @param character the new character
     */
    @Property(seed = "20261204", tries = 500)
    void changedTextIsNeverAnotherTicket(
            @ForAll @IntRange(max = 140) int position,
            @ForAll @IntRange(min = 33, max = 126) int character) {
        StringBuilder text = new StringBuilder(mCodec.encode(TICKET));
        text.setCharAt(position % text.length(), (char) character);
        DecodedTicket decoded = mCodec.decode(text.toString());
        if (decoded instanceof DecodedTicket.Valid valid) {
            assertThat(valid.ticket()).isEqualTo(TICKET);
        }
    }
}
