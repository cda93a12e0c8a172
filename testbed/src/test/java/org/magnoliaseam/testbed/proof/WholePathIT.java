package org.magnoliaseam.testbed.proof;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.CallerAnswer;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.harness.ChatCall;
import org.magnoliaseam.testbed.harness.ServiceCall;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests the path from callers through two entry VMs to engines and a ledger. */
class WholePathIT {

    private static final String KEY = SiteSpec.KEYS.get(0);

    private static TestSite sSite;
    private static CallerClient sClient;

    @BeforeAll
    static void start() {
        sSite = TestSite.start(new SiteSpec());
        sClient = sSite.client();
    }

    @AfterAll
    static void stop() {
        sSite.close();
    }

    private static ChatCall question() {
        return ChatCall.streamed(KEY, SiteSpec.MODEL, "How deep is a spoon? [[tokens=30]]");
    }

    @Test
    void streamedChatIsWholeThroughEachEntryVm() {
        for (int i = 0; i < 2; i++) {
            CallerAnswer answer = sClient.chat(sSite.entry(i).callers(), question());
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.whole()).isTrue();
            assertThat(answer.text()).isEqualTo(question().expectedText());
            assertThat(answer.header("X-Request-Id")).isNotEmpty();
        }
    }

    @Test
    void wholeChatHasTheSameText() {
        CallerAnswer answer = sClient.chat(sSite.entry(0).callers(), question().whole());
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.text()).isEqualTo(question().expectedText());
    }

    @Test
    void ticketOfOneEntryVmRunsOnceThroughTheOther() {
        CallerAnswer ticket = sClient.ticket(sSite.entry(0).callers(), KEY, "release");
        assertThat(ticket.status()).isEqualTo(201);
        ServiceCall call =
                ServiceCall.post(KEY, "/services/ledger/releases", "{\"key\":\"bale-1\"}")
                        .with(ticket.json().path("ticket").asText());
        CallerAnswer first = sClient.service(sSite.entry(1).callers(), call);
        CallerAnswer again = sClient.service(sSite.entry(0).callers(), call);
        assertThat(first.status()).isEqualTo(200);
        assertThat(again.status()).isEqualTo(200);
        assertThat(again.text()).isEqualTo(first.text());
        assertThat(sSite.ledgers().get(0).runs("bale-1")).isEqualTo(1);
    }

    @Test
    void requestWithoutTicketIsAnsweredWithOne() {
        ServiceCall call =
                ServiceCall.post(KEY, "/services/ledger/releases", "{\"key\":\"bale-2\"}");
        CallerAnswer refused = sClient.service(sSite.entry(0).callers(), call);
        assertThat(refused.status()).isEqualTo(428);
        assertThat(refused.json().path("error").path("executed").asText()).isEqualTo("no");
        String ticket = refused.json().path("error").path("ticket").asText();
        CallerAnswer ran = sClient.service(sSite.entry(1).callers(), call.with(ticket));
        assertThat(ran.status()).isEqualTo(200);
        assertThat(sSite.ledgers().get(0).runs("bale-2")).isEqualTo(1);
    }
}
