package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliaseam.settings.DispatchPolicy;
import org.magnoliaseam.settings.check.ConfigurationChecks;
import org.magnoliaseam.settings.schema.DurationType;
import org.magnoliaseam.settings.schema.IntegerType;
import org.magnoliaseam.settings.schema.KeySpec;
import org.magnoliaseam.settings.schema.ListType;
import org.magnoliaseam.settings.schema.LocalKeys;
import org.magnoliaseam.settings.schema.OverlayScopeCheck;
import org.magnoliaseam.settings.schema.PeerType;
import org.magnoliaseam.settings.schema.SchemaCheck;
import org.magnoliaseam.settings.schema.SectionReader;
import org.magnoliaseam.settings.schema.StoreKeys;
import org.magnoliaseam.settings.schema.TableSpec;

/** Tests that the documentation of the configuration lists every key and every message. */
class ConfigurationPageTest {

    private static final List<Class<?>> MESSAGE_HOLDERS =
            List.of(
                    DurationType.class,
                    IntegerType.class,
                    ListType.class,
                    SchemaCheck.class,
                    SectionReader.class,
                    OverlayScopeCheck.class,
                    SettingsFile.class,
                    LocalSettingsLoader.class);

    private final String mPage;

    ConfigurationPageTest() throws IOException {
        mPage = Files.readString(Path.of("..", "docs", "CONFIGURATION.md"));
    }

    static Stream<TableSpec> tables() {
        return Stream.concat(
                TomlConfigurationLoader.TABLES.stream(),
                Stream.of(LocalKeys.TABLE, PeerType.TABLE));
    }

    @ParameterizedTest
    @MethodSource("tables")
    void everyKeyIsDocumentedWithDefaultAndScope(TableSpec table) {
        List<String> rows = section(table).lines().filter(line -> line.startsWith("| `")).toList();
        assertThat(rows).hasSameSizeAs(table.keys());
        for (int i = 0; i < rows.size(); i++) {
            KeySpec<?> key = table.keys().get(i);
            String[] cells = rows.get(i).split(" \\| ");
            assertThat(cells[0]).isEqualTo("| `" + key.name() + "`");
            assertThat(cells[2]).as(key.name()).isEqualTo(fallback(key));
            assertThat(cells[3]).as(key.name()).isEqualTo(scope(key));
        }
    }

    @Test
    void everyKeyOfStoreSettingsIsDocumented() {
        String start = "## Settings with a metadata store";
        String rest = mPage.substring(mPage.indexOf(start) + start.length());
        List<String> rows =
                rest.split("\n## ")[0].lines().filter(line -> line.startsWith("| `")).toList();
        assertThat(rows).hasSameSizeAs(StoreKeys.TABLE.keys());
        for (int i = 0; i < rows.size(); i++) {
            KeySpec<?> key = StoreKeys.TABLE.keys().get(i);
            String[] cells = rows.get(i).split(" \\| ");
            assertThat(cells[0]).isEqualTo("| `" + key.name() + "`");
            assertThat(cells[2]).as(key.name()).isEqualTo(fallback(key));
        }
    }

    @Test
    void everyMessageIsDocumented() {
        Stream<Class<?>> checks = ConfigurationChecks.ALL.stream().map(Object::getClass);
        List<String> messages =
                Stream.concat(checks, MESSAGE_HOLDERS.stream())
                        .flatMap(ConfigurationPageTest::messages)
                        .toList();
        assertThat(messages).hasSizeGreaterThan(30);
        assertThat(messages).allSatisfy(m -> assertThat(mPage).contains("| " + m + " |"));
    }

    private String section(TableSpec table) {
        String start =
                switch (table.name()) {
                    case "" -> "## Local settings";
                    case "peers" -> "Each entry of `[[peers]]`";
                    default -> "## `[" + table.name();
                };
        String rest = mPage.substring(mPage.indexOf(start) + start.length());
        return rest.split(table.name().isEmpty() ? "\nEach entry" : "\n## ")[0];
    }

    private static String scope(KeySpec<?> key) {
        return switch (key.scope()) {
            case BASE -> "base";
            case BASE_OR_OVERLAY -> "base, overlay";
            case LOCAL -> "local";
        };
    }

    private static String fallback(KeySpec<?> key) {
        if (key.required()) {
            return "required";
        }
        Object value = key.fallback();
        if (value instanceof DispatchPolicy policy) {
            return policy.text();
        }
        if (value instanceof Duration duration) {
            return duration.isZero() ? "none" : DurationType.format(duration);
        }
        boolean none = List.of().equals(value) || Optional.empty().equals(value);
        return none || "".equals(value) ? "none" : value.toString();
    }

    private static Stream<String> messages(Class<?> holder) {
        return Arrays.stream(holder.getFields())
                .filter(field -> field.getType() == String.class)
                .map(ConfigurationPageTest::message);
    }

    private static String message(Field field) {
        try {
            return ((String) field.get(null)).replaceAll("%[sd]", "…");
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }
}
