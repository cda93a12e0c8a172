package org.magnoliaseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.LocalSettings;

/** Tests the exit codes and the output of the program. */
class ProgramTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    private final RecordedConsole mConsole = new RecordedConsole();

    private final List<LocalSettings> mLaunched = new ArrayList<>();

    @TempDir private Path mDirectory;

    private int run(String... args) {
        RouteLauncher launcher =
                settings -> {
                    mLaunched.add(settings);
                    return ExitCode.DONE.code();
                };
        CommandTable table =
                new CommandTable(launcher, (settings, file) -> 0, new TextDecisionRenderer());
        return new Program(table, mConsole.console(), "1.2.3").run(args);
    }

    /** General options and malformed command lines. */
    @Nested
    class CommandLines {

        @Test
        void helpNamesEveryCommand() {
            assertThat(run("--help")).isZero();
            assertThat(mConsole.out()).contains("route", "check", "status", "burn", "explain");
        }

        @Test
        void helpOfCommandNamesItsOptions() {
            assertThat(run("check", "--help")).isZero();
            assertThat(mConsole.out()).contains("--base FILE", "--overlay FILE");
        }

        @Test
        void versionIsPrinted() {
            assertThat(run("--version")).isZero();
            assertThat(mConsole.out().strip()).isEqualTo("magnoliaseam 1.2.3");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "frobnicate",
                    "route",
                    "route --settings",
                    "check --base a.toml",
                    "check --bas a.toml --overlay b.toml",
                    "status --address nonsense",
                    "status --address 127.0.0.1:0",
                    "status --address 127.0.0.1:1 surplus",
                    "burn --address 127.0.0.1:1 --format xml",
                    "explain",
                    "explain id-1",
                    "explain id-1 id-2 --log x",
                    "explain id-1 --log x --address 127.0.0.1:1",
                    "explain ../status --address 127.0.0.1:1"
                })
        void malformedCommandLineIsAUsageError(String line) {
            String[] args = line.isEmpty() ? new String[0] : line.split(" ");
            assertThat(run(args)).isEqualTo(2);
            assertThat(mConsole.err()).startsWith("magnoliaseam: ").contains("usage: ");
            assertThat(mConsole.out()).isEmpty();
        }

        @Test
        void nearestCommandIsSuggested() {
            assertThat(run("chek")).isEqualTo(2);
            assertThat(mConsole.err()).contains("did you mean \"check\"?");
        }
    }

    /** The command check. */
    @Nested
    class Check {

        @ParameterizedTest
        @ValueSource(strings = {"kameelboom", "vanhecke"})
        void digestAndSummaryOfValidFilesArePrinted(String siteName) {
            Path directory = EXAMPLES.resolve(siteName);
            assertThat(check(directory.resolve("base.toml"), directory.resolve("overlay.toml")))
                    .isZero();
            assertThat(mConsole.out().lines().findFirst().orElseThrow())
                    .matches("digest [0-9a-f]{64}");
            assertThat(mConsole.out())
                    .contains("accounts 10", "out of service: failure domains none");
        }

        @Test
        void oneLineIsPrintedForEachFault() throws IOException {
            Path base = mDirectory.resolve("base.toml");
            Files.writeString(base, "tier = 1\n\n[routing]\nqueue-limit = 0\n");
            Path overlay = mDirectory.resolve("overlay.toml");
            Files.writeString(overlay, "[accounts.new]\n");
            assertThat(check(base, overlay)).isEqualTo(2);
            assertThat(mConsole.out().lines())
                    .contains(
                            base + ":1: tier: is not a known key",
                            base + ":4: routing.queue-limit: must be between 1 and 100000",
                            overlay + ":1: accounts.new: may be added only in the base file");
        }

        @Test
        void absentFilesAreFaults() {
            Path absent = mDirectory.resolve("absent.toml");
            assertThat(check(absent, absent)).isEqualTo(2);
            assertThat(mConsole.out()).contains(absent + ":0: toml: the file cannot be read");
        }

        private int check(Path base, Path overlay) {
            return run("check", "--base", base.toString(), "--overlay", overlay.toString());
        }
    }

    /** The command route. */
    @Nested
    class Route {

        @Test
        void validSettingsReachTheLauncher() {
            String file = EXAMPLES.resolve("entry-vm.toml").toString();
            assertThat(run("route", "--settings", file)).isZero();
            assertThat(mLaunched)
                    .extracting(LocalSettings::vm)
                    .containsExactly(new VmId("entry-1"));
        }

        @Test
        void invalidSettingsAreFaults() throws IOException {
            Path file = mDirectory.resolve("local.toml");
            Files.writeString(file, "vm = 5\n");
            assertThat(run("route", "--settings", file.toString())).isEqualTo(2);
            assertThat(mConsole.err()).contains(file + ":1: vm: ", file + ":1: site: is required");
            assertThat(mLaunched).isEmpty();
        }
    }

    /** The command explain with a file. */
    @Nested
    class ExplainFromLog {

        @Test
        void matchingRecordsArePrintedInOrder() throws IOException {
            Path log =
                    log(
                            "{\"requestId\":\"id-1\",\"reason\":\"first\"}",
                            "no record",
                            "{\"requestId\":\"id-2\",\"reason\":\"other\"}",
                            "[1]",
                            "",
                            "{\"requestId\":\"id-1\",\"reason\":\"second\"}");
            assertThat(run("explain", "id-1", "--log", log.toString())).isZero();
            assertThat(mConsole.out())
                    .containsSubsequence("first", "second")
                    .doesNotContain("other");
            assertThat(mConsole.err()).contains("lines that are not decision records: 1");
        }

        @Test
        void accountOfARequestIsExplained() throws IOException {
            Path log =
                    log(
                            "{\"event\":\"request\",\"id\":\"id-1\",\"outcome\":\"completed\","
                                    + "\"steps\":[{\"ms\":1.0,\"step\":\"waiting\"}]}");
            assertThat(run("explain", "id-1", "--log", log.toString())).isZero();
            assertThat(mConsole.out()).contains("No backend server had room");
        }

        @Test
        void unknownRequestFails() throws IOException {
            Path log = log("{\"requestId\":\"id-1\"}");
            assertThat(run("explain", "id-9", "--log", log.toString())).isEqualTo(1);
            assertThat(mConsole.err()).contains("no decision record of id-9");
        }

        @Test
        void absentFileIsBadInput() {
            String absent = mDirectory.resolve("absent").toString();
            assertThat(run("explain", "id-1", "--log", absent)).isEqualTo(2);
            assertThat(mConsole.err()).contains("cannot read " + absent);
        }

        private Path log(String... lines) throws IOException {
            return Files.write(mDirectory.resolve("decisions.jsonl"), List.of(lines));
        }
    }
}
