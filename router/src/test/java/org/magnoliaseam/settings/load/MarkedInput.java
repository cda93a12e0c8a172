package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;

/**
 * Reads test input files in which the comment {@code # violation: key: reason} marks the expected
 * fault of a line. Two faults of one line are separated by {@code &&}.
 */
final class MarkedInput {

    private static final String MARK = "# violation: ";

    private MarkedInput() {}

    static Path path(String name) {
        try {
            return Path.of(MarkedInput.class.getResource("Input" + name + ".toml").toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    static String text(String name) {
        try {
            return Files.readString(path(name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Result<Configuration, List<Fault>> load(String base, String overlay) {
        return new TomlConfigurationLoader("base.toml", "overlay.toml")
                .load(new ConfigurationText(1, base, overlay));
    }

    static Configuration accepted(String base, String overlay) {
        return load(base, overlay)
                .fold(
                        configuration -> configuration,
                        faults -> {
                            throw new AssertionError(faults.toString());
                        });
    }

    static List<Fault> faults(Result<?, List<Fault>> result) {
        return result.fold(value -> List.of(), found -> found);
    }

    static void verifyBase(String name) {
        String text = text(name);
        verify("base.toml", text, load(text, ""));
    }

    static void verifyOverlay(String name) {
        String text = text(name);
        verify("overlay.toml", text, load(text("Valid"), text));
    }

    static void verify(String file, String text, Result<?, List<Fault>> result) {
        List<String> expected = expected(file, text);
        assertThat(expected).isNotEmpty();
        assertThat(faults(result))
                .extracting(Fault::text)
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    private static List<String> expected(String file, String text) {
        List<String> expected = new ArrayList<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length; i++) {
            int mark = lines[i].indexOf(MARK);
            if (mark >= 0) {
                for (String fault : lines[i].substring(mark + MARK.length()).split(" && ")) {
                    expected.add(file + ":" + (i + 1) + ": " + fault);
                }
            }
        }
        return expected;
    }
}
