package org.magnoliaseam.testbed.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.load.LocalSettingsLoader;
import org.magnoliaseam.settings.load.TomlConfigurationLoader;
import org.magnoliaseam.testbed.harness.SettingsWriter.Member;

/** Tests that the router accepts the settings of test sites. */
class SettingsWriterTest {

    private final SettingsWriter mWriter =
            new SettingsWriter(new SiteSpec().withRouting("ticket-ttl = \"3 s\""));

    private static Member member(String name) {
        return new Member(name, "domain-1", Ports.free());
    }

    @Test
    void routerAcceptsTheBaseFile() {
        String base =
                mWriter.base(
                        List.of(member("engine-1"), member("engine-2")),
                        List.of(member("ledger-1")));
        var result =
                new TomlConfigurationLoader("base.toml", "overlay.toml")
                        .load(new ConfigurationText(1, base, ""));
        assertThat(result.toString()).startsWith("Ok");
    }

    @Test
    void routerAcceptsTheLocalSettings(@TempDir Path folder) throws IOException {
        Path secret = Files.writeString(folder.resolve("secret"), "s");
        String text =
                mWriter.local(
                        member("entry-1"),
                        EntryAddresses.free(),
                        Ports.free(),
                        secret.toString(),
                        List.of(member("entry-2")));
        Path file = Files.writeString(folder.resolve("entry-1.toml"), text);
        assertThat(new LocalSettingsLoader().load(file).toString()).startsWith("Ok");
    }
}
