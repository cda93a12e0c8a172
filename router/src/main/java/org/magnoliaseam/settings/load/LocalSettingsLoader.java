package org.magnoliaseam.settings.load;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.LocalSettings;
import org.magnoliaseam.settings.schema.KeySpec;
import org.magnoliaseam.settings.schema.LocalKeys;
import org.magnoliaseam.settings.schema.SchemaCheck;
import org.magnoliaseam.settings.schema.SectionReader;
import org.magnoliaseam.settings.toml.TomlDocumentParser;
import org.magnoliaseam.settings.toml.TomlNode;

/** Loads the local settings of a process from a TOML file. */
public final class LocalSettingsLoader {

    /** The reason for an address that two ports share. */
    public static final String DUPLICATE = "is the same address as %s";

    /** The reason for a required text that is empty. */
    public static final String EMPTY = "must not be empty";

    /** The keys of the addresses that a process listens on. */
    private static final List<KeySpec<InetSocketAddress>> LISTENERS =
            List.of(
                    LocalKeys.CALLERS_ADDRESS,
                    LocalKeys.OPERATORS_ADDRESS,
                    LocalKeys.PEERS_ADDRESS);

    /**
     * Loads a file.
     *
     * @param file the file
     * @return the settings, or all faults found
     */
    public Result<LocalSettings, List<Fault>> load(Path file) {
        return SettingsFile.read(file)
                .fold(text -> parse(file.toString(), text), fault -> Result.err(List.of(fault)));
    }

    /**
     * Parses the text of a file.
     *
     * @param name the name of the file
     * @param text the TOML text
     * @return the settings, or all faults found
     */
    private static Result<LocalSettings, List<Fault>> parse(String name, String text) {
        return new TomlDocumentParser(name)
                .parse(text)
                .fold(LocalSettingsLoader::read, Result::err);
    }

    /**
     * Reads the settings of a document.
     *
     * @param root the document
     * @return the settings, or all faults found
     */
    private static Result<LocalSettings, List<Fault>> read(TomlNode.Section root) {
        Set<Fault> faults = new LinkedHashSet<>(SchemaCheck.checkKeys(root, "", LocalKeys.TABLE));
        SectionReader reader = new SectionReader(root, "", faults::add);
        LocalSettings settings = settings(reader);
        if (reader.complete()) {
            checkListeners(root, reader, faults::add);
            if (settings.peerSecretFile().isEmpty()) {
                String key = LocalKeys.PEER_SECRET_FILE.name();
                faults.add(root.locationOf(key).fault(key, EMPTY));
            }
        }
        if (faults.isEmpty()) {
            return Result.ok(settings);
        }
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort(Comparator.comparingInt(Fault::line));
        return Result.err(sorted);
    }

    /**
     * Reads the values of all keys.
     *
     * @param reader reads the keys
     * @return the settings, with placeholders for malformed parts
     */
    private static LocalSettings settings(SectionReader reader) {
        return new LocalSettings(
                reader.read(LocalKeys.VM),
                reader.read(LocalKeys.SITE),
                reader.read(LocalKeys.REGION),
                reader.read(LocalKeys.FAILURE_DOMAIN),
                reader.read(LocalKeys.CALLERS_ADDRESS),
                reader.read(LocalKeys.OPERATORS_ADDRESS),
                reader.read(LocalKeys.PEERS_ADDRESS),
                reader.read(LocalKeys.PLATFORM),
                reader.read(LocalKeys.PEERS),
                reader.read(LocalKeys.PEER_SECRET_FILE),
                reader.read(LocalKeys.DISPATCH_POLICY),
                reader.read(LocalKeys.MAX_BODY_BYTES),
                reader.read(LocalKeys.BODY_TIMEOUT),
                reader.read(LocalKeys.BALANCER_GRACE),
                reader.read(LocalKeys.LOG_FILE));
    }

    /**
     * Reports addresses that are configured for more than one port.
     *
     * @param root the document
     * @param reader reads the keys
     * @param faults receives every fault found
     */
    private static void checkListeners(
            TomlNode.Section root, SectionReader reader, Consumer<Fault> faults) {
        Map<InetSocketAddress, String> owners = new HashMap<>();
        for (KeySpec<InetSocketAddress> key : LISTENERS) {
            String owner = owners.putIfAbsent(reader.read(key), key.name());
            if (owner != null) {
                String reason = DUPLICATE.formatted(owner);
                faults.accept(root.locationOf(key.name()).fault(key.name(), reason));
            }
        }
    }
}
