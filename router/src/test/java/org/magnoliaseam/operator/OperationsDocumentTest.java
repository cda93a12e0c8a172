package org.magnoliaseam.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.burn.BurnCause;
import org.magnoliaseam.burn.BurnWindow;
import org.magnoliaseam.error.ErrorKind;

/**
 * Tests that the documentation for operators lists every error kind, cause of burn and time window.
 */
class OperationsDocumentTest {

    private static String page() throws IOException {
        return Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
    }

    /** Returns the table rows of a section whose first cell is formatted as code. */
    private static List<String> rows(String section) throws IOException {
        String page = page();
        int start = page.indexOf("## " + section);
        assertThat(start).as(section).isNotNegative();
        int end = page.indexOf("\n## ", start);
        String text = end < 0 ? page.substring(start) : page.substring(start, end);
        return text.lines().filter(line -> line.startsWith("| `")).toList();
    }

    @Test
    void everyErrorKindIsDocumented() throws IOException {
        List<String> expected =
                Arrays.stream(ErrorKind.values())
                        .map(
                                kind ->
                                        "| `%s` | %d | %s | %s |"
                                                .formatted(
                                                        kind.text(),
                                                        kind.httpStatus(),
                                                        kind.executed().text(),
                                                        retry(kind)))
                        .toList();
        List<String> documented =
                rows("Read a refusal").stream()
                        .map(row -> String.join("|", Arrays.copyOf(row.split("\\|"), 5)) + "|")
                        .toList();
        assertThat(documented).containsExactlyElementsOf(expected);
    }

    @Test
    void everyCauseOfBurnIsDocumented() throws IOException {
        List<String> documented =
                rows("Read the burn report").stream().map(row -> row.split("`")[1]).toList();
        assertThat(documented)
                .containsExactlyElementsOf(
                        Arrays.stream(BurnCause.values()).map(BurnCause::text).toList());
        for (BurnWindow window : BurnWindow.values()) {
            assertThat(page()).contains("`" + window.text() + "`");
        }
    }

    private static String retry(ErrorKind kind) {
        return kind.retryAfterSeconds() == 0 ? "-" : kind.retryAfterSeconds() + " s";
    }
}
