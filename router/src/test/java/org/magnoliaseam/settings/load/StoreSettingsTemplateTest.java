package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;

/** Tests that a process starts with the template, whatever figures the platform fills in. */
class StoreSettingsTemplateTest {

    private static final Path TEMPLATE = Path.of("..", "deploy", "settings.toml");

    private static final Map<String, String> FIELDS =
            Map.ofEntries(
                    Map.entry("node_name", "entry-1"),
                    Map.entry("zone", "domain-1"),
                    Map.entry("listen.front", "127.0.0.1:7001"),
                    Map.entry("listen.ready", "127.0.0.1:7002"),
                    Map.entry("ip", "127.0.0.1"),
                    Map.entry("listen.control", "127.0.0.1:7004"),
                    Map.entry("platform.address", "127.0.0.1:7005"),
                    Map.entry("bounds.stable_window_ms", "3000"),
                    Map.entry("bounds.retry_budget_ratio", "0.2"),
                    Map.entry("bounds.retry_budget_slack", "56"),
                    Map.entry("bounds.grace_s", "8"),
                    Map.entry("heartbeat_ms", "1200"));

    private static final Pattern SECTION = Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}");

    private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)}}");

    @TempDir Path mFolder;

    private String mTemplate;

    @BeforeEach
    void read() throws IOException {
        mTemplate = Files.readString(TEMPLATE);
    }

    private LoadedStoreSettings load(String field, String figure) throws IOException {
        String sections =
                SECTION.matcher(mTemplate)
                        .replaceAll(
                                match ->
                                        FIELDS.containsKey(match.group(1))
                                                ? match.group(2)
                                                        .replace(
                                                                "{{.}}",
                                                                value(match, field, figure))
                                                : "");
        String text = VALUE.matcher(sections).replaceAll(match -> value(match, field, figure));
        assertThat(text).doesNotContain("{{");
        Path file = mFolder.resolve("settings.toml");
        Files.writeString(file, text);
        return new StoreSettingsLoader()
                .load(file)
                .fold(
                        loaded -> loaded,
                        faults -> {
                            throw new AssertionError(faults);
                        });
    }

    private static String value(MatchResult match, String field, String figure) {
        return match.group(1).equals(field) ? figure : FIELDS.get(match.group(1));
    }

    /** Guards against a process that does not start because a figure is a fraction. */
    @Test
    void fractionIsUsed() throws IOException {
        assertThat(load("bounds.grace_s", "8.5").settings().stopGrace())
                .isEqualTo(Duration.ofMillis(8500));
        assertThat(load("bounds.stable_window_ms", "2999.5").settings().storeContactLimit())
                .isEqualTo(Duration.ofNanos(2_999_500_000L));
        assertThat(load("heartbeat_ms", "1200.25").settings().serverHeartbeat())
                .isEqualTo(Duration.ofNanos(1_200_250_000L));
        assertThat(load("bounds.retry_budget_ratio", "0.15").settings().retryRatio())
                .isEqualTo(0.15);
        assertThat(load("bounds.retry_budget_slack", "54.5").settings().retrySlack())
                .isEqualTo(54.5);
    }

    @ParameterizedTest
    @CsvSource({
        "bounds.grace_s,0.25",
        "bounds.grace_s,6e2",
        "bounds.grace_s,8.000000000000001",
        "bounds.stable_window_ms,500",
        "bounds.stable_window_ms,6e+04",
        "bounds.retry_budget_ratio,2",
        "bounds.retry_budget_ratio,1e-05",
        "bounds.retry_budget_slack,250000",
        "heartbeat_ms,5"
    })
    void figureFarFromTheUsualOneIsUsed(String field, String figure) throws IOException {
        assertThat(load(field, figure).refused()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "true", "false", "-1", "nan", "1e99", "1e999", "9999999999999"})
    void unusableFigureIsReplacedByTheDefault(String figure) throws IOException {
        for (String field :
                List.of(
                        "bounds.grace_s",
                        "bounds.stable_window_ms",
                        "bounds.retry_budget_ratio",
                        "bounds.retry_budget_slack",
                        "heartbeat_ms")) {
            LoadedStoreSettings loaded = load(field, figure);
            assertThat(loaded.refused()).as(field).hasSize(1);
            assertThat(loaded.refused()).extracting(Fault::line).isNotEmpty();
            assertThat(loaded.settings().vm().value()).isEqualTo("entry-1");
        }
        StoreSettings settings = load("bounds.grace_s", figure).settings();
        assertThat(settings.stopGrace()).isEqualTo(Duration.ofSeconds(8));
    }
}
