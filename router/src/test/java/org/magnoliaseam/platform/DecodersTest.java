package org.magnoliaseam.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.gateway.Prompt;
import org.magnoliaseam.model.BackendServerId;

/** Tests decoding of valid and corrupted input. */
class DecodersTest {

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[{"name":"r1","host":"A.example","prefix":"/p/","kind":"stream",\
            "timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":2,\
            "public":false,"stream_resumption":true,"gap_target_ms":300},{"name":"r2",\
            "host":"a.example","prefix":"/p/q/","kind":"safe","timeout_ms":900,"traffic_split":\
            [{"service":"s1","weight":90},{"service":"s2","weight":10}]}],"services":[{"name":"s1",\
            "max_connections":360,"cold_start_s":3.0,"cold_per_s":13.0,"engine":{"slots":64,\
            "kv_capacity_tokens":261949}},{"name":"s2","max_connections":100}],"limits":\
            {"max_body_bytes":4194304,"idle_timeout_ms":15000},"tenants":[{"name":"t1",\
            "api_keys":["k1","k2"],"priority":1}]}""";

    private static final String SERVER =
            """
            {"service":"s1","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":64,\
            "state":"ready","cold_remaining_ms":250,"born":17,"sequence":4}""";

    private static Result<Catalog, String> catalog(String text) {
        return CatalogDecoder.decode(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Result<ServerEntry, String> server(String text) {
        return ServerDecoder.decode(
                new BackendServerId("i-1"), text.getBytes(StandardCharsets.UTF_8));
    }

    private static String outcome(String entry) {
        return server(entry).fold(found -> "decoded", error -> error);
    }

    private static String corrupt(String text, int position, char value) {
        int at = position % text.length();
        return text.substring(0, at) + value + text.substring(at + 1);
    }

    /** Tests decoding of the configuration. */
    @Nested
    class Configuration {
        private final Catalog mCatalog =
                catalog(CONFIGURATION).fold(found -> found, reason -> null);

        @Test
        void longestPrefixOfTheHostWins() {
            assertThat(mCatalog.route("a.example", "/p/x").get().name()).isEqualTo("r1");
            assertThat(mCatalog.route("a.example", "/p/q/x").get().name()).isEqualTo("r2");
            assertThat(mCatalog.route("a.example", "/p").isPresent()).isFalse();
            assertThat(mCatalog.route("b.example", "/p/x").isPresent()).isFalse();
        }

        @Test
        void kindDecidesWhetherARequestMayBeRepeated() {
            assertThat(mCatalog.route("a.example", "/p/").get().idempotent()).isTrue();
            assertThat(mCatalog.route("a.example", "/p/q/").get().kind())
                    .isEqualTo(RequestKind.REPEATABLE);
        }

        @Test
        void weightsSplitTheRequestsOfARoute() {
            var route = mCatalog.route("a.example", "/p/q/").get();
            assertThat(route.service(0.5).value()).isEqualTo("s1");
            assertThat(route.service(0.95).value()).isEqualTo("s2");
        }

        @Test
        void errorNamesTheInvalidKey() {
            String reason =
                    catalog(CONFIGURATION.replace("\"timeout_ms\":3000", "\"timeout_ms\":\"x\""))
                            .fold(found -> "", error -> error);
            assertThat(reason).contains("timeout_ms");
        }

        @Property(seed = "20261204", tries = 1000)
        void corruptedInputIsDecodedOrRefusedWithAReason(
                @ForAll @IntRange(max = 2000) int position, @ForAll char value) {
            String reason =
                    catalog(corrupt(CONFIGURATION, position, value))
                            .fold(found -> "decoded", error -> error);
            assertThat(reason).isNotEmpty();
        }
    }

    /** Tests decoding of the entries of backend servers. */
    @Nested
    class Servers {
        @Test
        void entryIsDecoded() {
            ServerEntry entry = server(SERVER).fold(found -> found, reason -> null);
            assertThat(entry.coldMillis()).isEqualTo(250);
            assertThat(entry.startMark()).isEqualTo(17);
            assertThat(entry.address().getPort()).isEqualTo(8080);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "\"slots\":1e999999",
                    "\"slots\":4294967296",
                    "\"slots\":9223372036854775808",
                    "\"slots\":-1",
                    "\"slots\":1.5",
                    "\"cold_remaining_ms\":1e999999",
                    "\"cold_remaining_ms\":9223372036854775807",
                    "\"born\":1e999999",
                    "\"born\":18446744073709551616",
                    "\"born\":17.5",
                    "\"address\":\"10.0.0.9:0\"",
                    "\"address\":\"10.0.0.9:65536\"",
                    "\"address\":\"10.0.0.9:-1\"",
                    "\"address\":\"10.0.0.999:80\"",
                    "\"address\":\"host.example:80\"",
                    "\"address\":\"10.0.0:80\"",
                    "\"address\":\"10.0.0.9.1:80\"",
                    "\"address\":\"[::1:80\""
                })
        void entryWithANumberOutOfRangeIsRefusedByItsKey(String field) {
            String key = field.substring(1, field.indexOf('"', 1));
            String entry = SERVER.replaceAll("\"" + key + "\":(\"[^\"]*\"|\\d+)", field);
            assertThat(entry).contains(field);
            assertThat(outcome(entry)).contains(key);
        }

        @ParameterizedTest
        @ValueSource(ints = {500, 5_000, 100_000})
        void deeplyNestedEntryIsDecodedOrRefusedOnASmallStack(int depth) throws Exception {
            String nested = "[".repeat(depth) + "]".repeat(depth);
            String entry = SERVER.replace("\"sequence\":4", "\"sequence\":" + nested);
            AtomicReference<String> outcome = new AtomicReference<>("the thread ended");
            Runnable decode = () -> outcome.set(outcome(entry));
            Thread thread = new Thread(null, decode, "small stack", 256 * 1024);
            thread.start();
            thread.join();
            assertThat(outcome.get()).isIn("decoded", "not JSON");
        }

        @ParameterizedTest
        @ValueSource(strings = {"255.249.199.9:65535", "10.0.0.200:1", "[fd00::9]:8080"})
        void addressOfEitherVersionIsDecoded(String address) {
            assertThat(outcome(SERVER.replace("10.0.0.9:8080", address))).isEqualTo("decoded");
        }

        @Test
        void hugeNumberInAnUnusedFieldDoesNotMatter() {
            String entry = SERVER.replace("\"sequence\":4", "\"sequence\":1e999999");
            assertThat(outcome(entry)).isEqualTo("decoded");
        }

        @Test
        void unknownStateIsRefused() {
            String reason =
                    server(SERVER.replace("ready", "odd")).fold(found -> "", error -> error);
            assertThat(reason).contains("state");
        }

        @Property(seed = "20261204", tries = 1000)
        void corruptedInputIsDecodedOrRefusedWithAReason(
                @ForAll @IntRange(max = 300) int position, @ForAll char value) {
            String reason =
                    server(corrupt(SERVER, position, value))
                            .fold(found -> "decoded", error -> error);
            assertThat(reason).isNotEmpty();
        }
    }

    /** Tests decoding of the description of a prompt. */
    @Nested
    class Prompts {
        private Prompt read(String counts, String parts) {
            return PromptHeaders.read(
                    HttpFields.build().put(WireNames.TOKENS, counts).put(WireNames.PROMPT, parts));
        }

        @Test
        void affinityKeyIsTheLastSharedPart() {
            Prompt prompt = read("1460,80", "5c:800,91:410,e4:250");
            assertThat(prompt.affinityKey()).isEqualTo("91");
            assertThat(prompt.memoryTokens()).isEqualTo(1540);
        }

        @Property(seed = "20261204", tries = 500)
        void anyTextIsDecoded(@ForAll String counts, @ForAll String parts) {
            Prompt prompt = read(printable(counts), printable(parts));
            assertThat(prompt.tokens()).isNotNegative();
        }

        private String printable(String text) {
            return "x" + text.replaceAll("[^ -~]", "");
        }
    }
}
