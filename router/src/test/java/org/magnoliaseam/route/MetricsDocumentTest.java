package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.RecordFixtures;
import org.magnoliaseam.burn.BurnRecorder;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordStore;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.operator.MetricsPage;
import org.magnoliaseam.operator.RouterStatus;

/**
 * Tests that the documentation lists exactly the registered metrics, and that the number of metrics
 * does not grow with requests.
 */
class MetricsDocumentTest {

    private static final VmId VM = new VmId("entry-1");

    private final MetricRegistry mMetrics = new MetricRegistry();

    private final RecordFixtures mRecords = new RecordFixtures();

    private final RecordPipeline mPipeline =
            new RecordPipeline(
                    new RecordStore(),
                    new BurnRecorder(VM, Optional::empty, () -> mRecords.mNanos),
                    mMetrics);

    private static RouterStatus status() {
        return new RouterStatus(
                VM,
                new Incarnation(1),
                true,
                false,
                3,
                2,
                7,
                1,
                List.of(new TierLoad(new Tier(2), 5, 10, 4)),
                Optional.empty());
    }

    private void recordRequest(String account, String outcome) {
        RecordBuilder record = mRecords.arrived("entry-1", RecordFixtures.CHAT, account);
        mRecords.send(record, "engine-1");
        mRecords.answer(record, "engine-1", 10);
        mPipeline.accept(record.build(outcome, "yes", outcome.equals("completed")));
    }

    private Set<String> lines() {
        new RouterGauges(mMetrics, MetricsDocumentTest::status, () -> 9, () -> 1, () -> 6);
        recordRequest("port-office", "completed");
        recordRequest("port-office", "overloaded");
        return new TreeSet<>(new MetricsPage(mMetrics).render("", "").text().lines().toList());
    }

    /** Returns the documented name of a metric, with placeholders for class, outcome and tier. */
    private static String documentedName(String line) {
        return line.substring(0, line.indexOf(' '))
                .replace("." + RecordFixtures.CHAT + ".", ".CLASS.")
                .replaceFirst("outcome\\..*", "outcome.OUTCOME")
                .replaceFirst("^tier\\.\\d\\.", "tier.N.")
                .replaceFirst("\\.(count|p50_millis|p99_millis)$", ".count");
    }

    @Test
    void pageNamesEveryMetricAndNoOther() throws IOException {
        Matcher rows =
                Pattern.compile("(?m)^\\| `([^`]+)`")
                        .matcher(Files.readString(Path.of("..", "docs", "METRICS.md")));
        Set<String> page = new TreeSet<>(rows.results().map(row -> row.group(1)).toList());
        Set<String> registered = new TreeSet<>();
        lines().forEach(line -> registered.add(documentedName(line)));
        assertThat(registered).isEqualTo(page);
    }

    @Test
    void gaugesReadTheState() {
        assertThat(lines())
                .contains("tier.2.queued 5", "tier.2.running 4", "tier.1.queued 0")
                .contains("requests.active 3", "process.pauses 2", "configuration.version 7")
                .contains("tries.first 9", "tries.retries 1", "tickets.open 6");
    }

    @Test
    void numberOfMetricsDoesNotGrowWithRequests() {
        int before = lines().size();
        for (int i = 0; i < 1_000; i++) {
            recordRequest("account-" + i, i % 2 == 0 ? "completed" : "overloaded");
        }
        assertThat(new MetricsPage(mMetrics).render("", "").text().lines()).hasSize(before);
    }
}
