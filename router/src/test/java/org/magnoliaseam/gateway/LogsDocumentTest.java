package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.backend.BackendFailure;

/** Tests that docs/LOGS.md explains exactly the steps of a request. */
class LogsDocumentTest {

    @Test
    void everyStepIsExplained() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "LOGS.md"));
        List<String> rows = page.lines().filter(line -> line.startsWith("| `")).toList();
        List<String> words = rows.stream().map(row -> row.split("`")[1]).toList();
        assertThat(words)
                .containsExactlyElementsOf(
                        Stream.of(StepKind.values()).map(StepKind::text).toList());
    }

    @Test
    void everyFailureOfAnAttemptIsAStep() {
        for (BackendFailure failure : BackendFailure.values()) {
            assertThat(StepKind.valueOf(failure.name())).isNotNull();
        }
    }
}
