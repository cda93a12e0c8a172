package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.settings.RequestClass;

/**
 * Tests with randomly changed files that the loaders neither throw an exception nor accept an
 * invalid configuration.
 */
class MutatedFilesTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    private static final int TRIES = 500;

    @Property(seed = "20261204", tries = TRIES)
    void changedBaseFileIsValidOrHasFaultsWithLines(
            @ForAll("mutations") List<TextMutation> mutations) throws IOException {
        String base = changed(example("kameelboom/base.toml"), mutations);
        verify(MarkedInput.load(base, example("kameelboom/overlay.toml")));
    }

    @Property(seed = "20261204", tries = TRIES)
    void changedOverlayIsValidOrHasFaultsWithLines(
            @ForAll("mutations") List<TextMutation> mutations) {
        String overlay = changed(MarkedInput.text("Overlay"), mutations);
        verify(MarkedInput.load(MarkedInput.text("Valid"), overlay));
    }

    @Property(seed = "20261204", tries = TRIES)
    void arbitraryTextIsValidOrHasFaultsWithLines(@ForAll byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        verify(MarkedInput.load(text, text));
    }

    @Property(seed = "20261204", tries = TRIES)
    void changedLocalSettingsAreValidOrHaveFaultsWithLines(
            @ForAll("mutations") List<TextMutation> mutations) throws IOException {
        Path file = Files.createTempFile("local", ".toml");
        try {
            String text = changed(example("entry-vm.toml"), mutations);
            Files.write(file, text.getBytes(StandardCharsets.UTF_8));
            Result<LocalSettings, List<Fault>> result = new LocalSettingsLoader().load(file);
            if (result instanceof Result.Err<LocalSettings, List<Fault>> err) {
                verifyFaults(err.error());
            }
        } finally {
            Files.delete(file);
        }
    }

    @Provide
    Arbitrary<List<TextMutation>> mutations() {
        Arbitrary<String> payloads =
                Arbitraries.oneOf(
                        Arbitraries.of(
                                "0",
                                "-1",
                                "1e9",
                                "nan",
                                "\"\"",
                                "[]",
                                "{}",
                                "\"5 s\"",
                                "\"x\"",
                                "true",
                                "1979-05-27",
                                "[[\"a\"]]",
                                "\"\\u0000\"",
                                "99999999999",
                                "[\"engine-1\"]",
                                "{a = 1}",
                                "\"0 ms\"",
                                "\n",
                                "#",
                                "["),
                        Arbitraries.strings().ofMaxLength(8));
        return Combinators.combine(
                        Arbitraries.of(TextMutation.Kind.class),
                        Arbitraries.doubles().between(0, 1),
                        Arbitraries.doubles().between(0, 1),
                        payloads)
                .as(TextMutation::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(4);
    }

    private static String example(String name) throws IOException {
        return Files.readString(EXAMPLES.resolve(name));
    }

    private static String changed(String text, List<TextMutation> mutations) {
        String changed = text;
        for (TextMutation mutation : mutations) {
            changed = mutation.apply(changed);
        }
        return changed;
    }

    private static void verify(Result<Configuration, List<Fault>> result) {
        if (result instanceof Result.Ok<Configuration, List<Fault>> ok) {
            verifyInvariants(ok.value());
        } else {
            verifyFaults(MarkedInput.faults(result));
        }
    }

    private static void verifyFaults(List<Fault> faults) {
        assertThat(faults).isNotEmpty();
        assertThat(faults)
                .allSatisfy(
                        fault -> {
                            assertThat(fault.line()).isPositive();
                            assertThat(fault.key()).isNotEmpty();
                            assertThat(fault.text().lines()).hasSize(1);
                        });
    }

    private static void verifyInvariants(Configuration configuration) {
        assertThat(configuration.classes()).isNotEmpty();
        configuration.classes().values().forEach(c -> verifyClass(configuration, c));
        assertThat(configuration.backendServers().values())
                .allMatch(server -> server.coldLimit() >= 1)
                .allMatch(server -> server.coldLimit() <= server.warmLimit())
                .extracting(server -> server.address())
                .doesNotHaveDuplicates();
        assertThat(configuration.accounts().values())
                .allMatch(a -> configuration.classes().keySet().containsAll(a.classes()))
                .allMatch(a -> a.defaultClass().map(a.classes()::contains).orElse(true));
        assertThat(configuration.backendServers().keySet())
                .containsAll(configuration.outOfService().backendServers());
        assertThat(
                        configuration.classes().values().stream()
                                .mapToDouble(RequestClass::guaranteedShare)
                                .sum())
                .isLessThanOrEqualTo(0.5 + 1e-6);
    }

    private static void verifyClass(Configuration configuration, RequestClass requestClass) {
        assertThat(configuration.backendServers().keySet())
                .containsAll(requestClass.backendServers());
        assertThat(requestClass.guaranteedShare()).isPositive();
        assertThat(requestClass.models().isEmpty()).isEqualTo(requestClass.service().isPresent());
        assertThat(requestClass.models())
                .allMatch(
                        model ->
                                requestClass.backendServers().stream()
                                        .map(configuration.backendServers()::get)
                                        .anyMatch(server -> server.models().contains(model)));
        requestClass
                .service()
                .ifPresent(
                        service ->
                                assertThat(requestClass.backendServers())
                                        .map(configuration.backendServers()::get)
                                        .anyMatch(s -> s.service().equals(requestClass.service())));
    }
}
