package org.magnoliaseam.testbed.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.testbed.engine.EngineAnswers;
import org.magnoliaseam.testbed.engine.EngineSettings;
import org.magnoliaseam.testbed.engine.EngineStandIn;
import org.magnoliaseam.testbed.harness.CallerClient;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Tests traces, their replay and its report. */
class ReplayTest {

    private static final OutcomeTargets TARGETS =
            new OutcomeTargets(
                    List.of(
                            new OutcomeTargets.ClassTargets("question", 2000, 500, 5000, 8000, 0.9),
                            new OutcomeTargets.ClassTargets("review", 1, 1, 1, 8000, 0.1)),
                    0.1);

    private static TraceRequest chat(int atMillis, String requestClass) {
        return new TraceRequest(atMillis, "key", requestClass, TraceRequestKind.CHAT, 1, 64, 5, 0);
    }

    /** Tests generated traces. */
    @Nested
    class Generated {

        @Test
        void seedDeterminesTheTraceAndTheBurstIsDenser(@TempDir Path folder) throws IOException {
            Trace trace = generate(7);
            assertThat(trace).isEqualTo(generate(7)).isNotEqualTo(generate(8));
            long inBurst =
                    trace.requests().stream()
                            .filter(r -> r.atMillis() >= 6_000 && r.atMillis() < 13_000)
                            .count();
            assertThat(inBurst).isGreaterThan(trace.requests().size() / 2);
            Path file = folder.resolve("trace.jsonl");
            trace.write(file);
            assertThat(Trace.read(file)).isEqualTo(trace);
        }

        private Trace generate(long seed) {
            return new TraceGenerator(TraceShape.SHIP_DOCKS, 20, 4, 1, seed).generate();
        }
    }

    /** Tests a replay that is sent directly to an engine. */
    @Nested
    class Replayed {

        @Test
        void countsWholeAnswersAndThoseOnTime() throws Exception {
            EngineAnswers answers = new EngineAnswers(2000);
            EngineSettings settings =
                    new EngineSettings("m", 8, 400, 8, 0, 1, 5, 1, 1, 100, false, 8);
            EngineStandIn engine =
                    new EngineStandIn(ListenAddress.loopback(0), settings, answers, 1, 0);
            engine.server().start();
            List<TraceRequest> requests = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                requests.add(chat(10 * i, i % 2 == 0 ? "question" : "review"));
            }
            try (CallerClient client = new CallerClient()) {
                Replayer replayer =
                        new Replayer(client, List.of(engine.server().address()), TARGETS, answers);
                ReplayReport report =
                        new ReportBuilder(TARGETS, 100).build(replayer.replay(new Trace(requests)));
                ClassReport question = report.classes().get(0);
                assertThat(question.sent()).isEqualTo(10);
                assertThat(question.onTime()).isEqualTo(10);
                assertThat(question.goodputTokens()).isEqualTo(50);
                assertThat(question.intervals()).hasSize(2);
                ClassReport review = report.classes().get(1);
                assertThat(review.whole()).isEqualTo(10);
                assertThat(review.onTime()).isZero();
                assertThat(report.mismatched()).isZero();
                assertThat(new PolicyResult("p", report, 200, 0, 0).missed(TARGETS))
                        .hasSize(2)
                        .anyMatch(line -> line.startsWith("review on time 0.000"))
                        .anyMatch(line -> line.startsWith("wasted 0.500"));
            } finally {
                engine.close();
            }
        }

        @Test
        void countsUnreachableEntriesAsFailed() {
            try (CallerClient client = new CallerClient()) {
                Replayer replayer =
                        new Replayer(
                                client,
                                List.of(ListenAddress.loopback(1)),
                                TARGETS,
                                new EngineAnswers(20));
                Trace trace = new Trace(List.of(chat(0, "question")));
                ReplayReport report = new ReportBuilder(TARGETS, 100).build(replayer.replay(trace));
                assertThat(report.classes().get(0).failed()).isEqualTo(1);
            }
        }
    }
}
