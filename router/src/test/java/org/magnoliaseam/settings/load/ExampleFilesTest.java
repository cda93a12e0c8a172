package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.BackendKind;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.LocalSettings;

/** Tests that the example files are valid and describe sites of the expected sizes. */
class ExampleFilesTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"kameelboom, 4, 6, 4, enrolment", "vanhecke, 3, 6, 3, bale-release"})
    void configurationOfEachSiteIsAccepted(
            String siteName, int domains, int engines, int services, String notIdempotent)
            throws IOException {
        Configuration configuration = load(siteName);
        assertThat(configuration.accounts()).hasSize(10);
        assertThat(count(configuration, BackendKind.MODEL_ENGINE)).isEqualTo(engines);
        assertThat(count(configuration, BackendKind.PLAIN_SERVICE)).isEqualTo(services);
        assertThat(
                        configuration.backendServers().values().stream()
                                .map(server -> server.failureDomain())
                                .collect(Collectors.toSet()))
                .hasSize(domains);
        assertThat(configuration.classes().values())
                .filteredOn(requestClass -> !requestClass.idempotent())
                .extracting(requestClass -> requestClass.id())
                .containsExactly(new RequestClassId(notIdempotent));
    }

    @Test
    void localSettingsAreAccepted() {
        Result<LocalSettings, List<Fault>> result =
                new LocalSettingsLoader().load(EXAMPLES.resolve("entry-vm.toml"));
        assertThat(result).isInstanceOf(Result.Ok.class);
    }

    private static long count(Configuration configuration, BackendKind kind) {
        return configuration.backendServers().values().stream()
                .filter(server -> server.kind() == kind)
                .count();
    }

    private static Configuration load(String siteName) throws IOException {
        Path directory = EXAMPLES.resolve(siteName);
        ConfigurationText text =
                new ConfigurationText(
                        1,
                        Files.readString(directory.resolve("base.toml")),
                        Files.readString(directory.resolve("overlay.toml")));
        return new TomlConfigurationLoader("base.toml", "overlay.toml")
                .load(text)
                .fold(
                        configuration -> configuration,
                        faults -> {
                            throw new AssertionError(faults.toString());
                        });
    }
}
