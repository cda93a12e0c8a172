package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests the explanation of requests from the log. */
class AccountTextTest {

    private static final String ACCOUNT =
            "{\"event\":\"request\",\"id\":\"r1\",\"route\":\"lookup\",\"catalog\":7,"
                    + "\"priority\":2,\"prompt_tokens\":0,\"target_ms\":120,\"pause_ms\":0,"
                    + "\"deadline_ms\":600.0,\"outcome\":\"completed\",\"ms\":412.5,\"steps\":["
                    + "{\"ms\":0.1,\"step\":\"sent\",\"server\":\"a\",\"detail\":\"cost=0 of=2\"},"
                    + "{\"ms\":4.0,\"step\":\"refused\",\"server\":\"a\",\"detail\":\"\"},"
                    + "{\"ms\":4.0,\"step\":\"waiting\",\"server\":\"\","
                    + "\"detail\":\"overloaded pushed_back=2 not_before_ms=296\"},"
                    + "{\"ms\":300.0,\"step\":\"of_a_later_version\",\"server\":\"a\","
                    + "\"detail\":\"\"}]}";

    private static JsonNode json(String text) throws IOException {
        return new ObjectMapper().readTree(text);
    }

    @Test
    void requestThatWaitedForServersThatWantedNoRequestsIsExplained() throws IOException {
        assertThat(AccountText.render(json(ACCOUNT)).orElseThrow().lines())
                .containsExactly(
                        "Request r1: completed after 412.5 ms; target 120 ms, deadline 600 ms.",
                        "Route lookup, catalog version 7, priority 2, prompt tokens 0,"
                                + " longest pause 0 ms.",
                        "      0.1 ms  a: The request was sent to this backend server."
                                + " (cost=0 of=2)",
                        "      4.0 ms  a: The backend server stated that it did not start the"
                                + " request.",
                        "      4.0 ms  No backend server had room, so the request began to wait."
                                + " (overloaded pushed_back=2 not_before_ms=296)",
                        "    300.0 ms  a: of_a_later_version");
    }

    @Test
    void changeOfTheCatalogDuringTheRequestIsExplained() throws IOException {
        String changed = ACCOUNT.replace("\"catalog\":7", "\"catalog\":7,\"catalog_end\":9");
        assertThat(AccountText.render(json(changed)).orElseThrow().lines())
                .contains("Catalog version at the end: 9.");
    }

    @Test
    void otherLinesAreNoAccounts() throws IOException {
        assertThat(AccountText.render(json("{\"part\":\"board\"}"))).isEmpty();
        assertThat(AccountText.isAccountOf(json(ACCOUNT), "r2")).isFalse();
        assertThat(AccountText.isAccountOf(json(ACCOUNT), "r1")).isTrue();
    }
}
