package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.DispatchPolicy;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.LocalSettings;

/** Tests the loader of local settings. */
class LocalSettingsLoaderTest {

    private final LocalSettingsLoader mLoader = new LocalSettingsLoader();

    /** Files that are accepted. */
    @Nested
    class Accepted {

        @Test
        void absentKeysGetTheirDefaults() {
            LocalSettings settings =
                    mLoader.load(MarkedInput.path("LocalValid"))
                            .fold(
                                    value -> value,
                                    faults -> {
                                        throw new AssertionError(faults.toString());
                                    });
            assertThat(settings.vm()).isEqualTo(new VmId("entry-1"));
            assertThat(settings.dispatchPolicy()).isEqualTo(DispatchPolicy.TIERED);
            assertThat(settings.maxBodyBytes()).isEqualTo(1024 * 1024);
            assertThat(settings.bodyTimeout()).isEqualTo(Duration.ofSeconds(10));
            assertThat(settings.peers()).hasSize(1);
            assertThat(settings.logFile()).isEmpty();
        }
    }

    /** Files that are refused. */
    @Nested
    class Refused {

        @TempDir private Path mDirectory;

        @ParameterizedTest
        @ValueSource(strings = {"LocalSameAddress"})
        void markedFaultsAreFound(String name) {
            verify(name);
        }

        @Test
        void missingKeyIsFoundTogetherWithMarkedFaults() {
            Path file = MarkedInput.path("LocalFaults");
            List<Fault> faults = MarkedInput.faults(mLoader.load(file));
            Fault missing =
                    new Fault(file.toString(), 1, "failure-domain", "is required and missing");
            assertThat(faults).contains(missing);
            List<Fault> others = faults.stream().filter(f -> !f.equals(missing)).toList();
            MarkedInput.verify(
                    file.toString(), MarkedInput.text("LocalFaults"), Result.err(others));
        }

        @Test
        void absentFileIsAFault() {
            assertThat(MarkedInput.faults(mLoader.load(mDirectory.resolve("absent.toml"))))
                    .extracting(Fault::reason)
                    .containsExactly("the file cannot be read");
        }

        @Test
        void fileThatIsNotUtf8IsAFault() throws IOException {
            Path file = mDirectory.resolve("binary.toml");
            Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe, 0});
            assertThat(MarkedInput.faults(mLoader.load(file)))
                    .extracting(Fault::reason)
                    .containsExactly("the file is not UTF-8 text");
        }

        private void verify(String name) {
            Path file = MarkedInput.path(name);
            MarkedInput.verify(file.toString(), MarkedInput.text(name), mLoader.load(file));
        }
    }
}
