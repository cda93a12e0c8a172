package org.magnoliaseam.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs soak tests of real entry VM processes with the seeds of the resource file. */
class SoakIT {

    private static final long MILLIS = 15_000;

    /** The second word of the lines whose seeds run with every build. */
    private static final String WITH_EVERY_BUILD = "ci";

    @TempDir Path mFolder;

    static LongStream seeds() throws IOException {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(
                                SoakIT.class.getResourceAsStream("/soak-seeds.txt"),
                                StandardCharsets.UTF_8))) {
            return LongStream.of(
                    lines.lines()
                            .map(line -> line.split("\\s+"))
                            .filter(words -> WITH_EVERY_BUILD.equals(words[1]))
                            .mapToLong(words -> Long.parseLong(words[0]))
                            .toArray());
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsEveryGuarantee(long seed) throws Exception {
        String binary = System.getProperty("magnoliaseam.binary");
        SoakRun.Outcome outcome = new SoakRun(seed, MILLIS).run(mFolder, binary);
        System.out.printf(
                "SoakIT: seed %d, calls %d, whole %d, faults %d%n",
                seed, outcome.calls(), outcome.whole(), outcome.faults());
        assertThat(outcome.violations()).isEmpty();
        assertThat(outcome.whole()).isPositive();
    }
}
