package org.magnoliaseam.settings.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.settings.schema.SchemaCheck;
import org.magnoliaseam.settings.schema.SectionReader;
import org.magnoliaseam.settings.schema.StoreKeys;
import org.magnoliaseam.settings.toml.TomlDocumentParser;
import org.magnoliaseam.settings.toml.TomlNode;

/** Loads the local settings of a process at a site that a metadata store publishes. */
public final class StoreSettingsLoader {

    /**
     * Loads a file.
     *
     * @param file the file
     * @return the settings, or all faults found
     */
    public Result<StoreSettings, List<Fault>> load(Path file) {
        return SettingsFile.read(file)
                .fold(text -> parse(file.toString(), text), fault -> Result.err(List.of(fault)));
    }

    /**
     * Parses the text of a file.
     *
     * @param name the name of the file for faults
     * @param text the text
     * @return the settings, or all faults found
     */
    private static Result<StoreSettings, List<Fault>> parse(String name, String text) {
        return new TomlDocumentParser(name)
                .parse(text)
                .fold(StoreSettingsLoader::read, Result::err);
    }

    /**
     * Reads the keys.
     *
     * @param root the root table
     * @return the settings, or the faults sorted by line
     */
    private static Result<StoreSettings, List<Fault>> read(TomlNode.Section root) {
        Set<Fault> faults = new LinkedHashSet<>(SchemaCheck.checkKeys(root, "", StoreKeys.TABLE));
        SectionReader reader = new SectionReader(root, "", faults::add);
        StoreSettings settings =
                new StoreSettings(
                        reader.read(StoreKeys.VM),
                        reader.read(StoreKeys.FAILURE_DOMAIN),
                        reader.read(StoreKeys.CALLERS_ADDRESS),
                        reader.read(StoreKeys.READINESS_ADDRESS),
                        reader.read(StoreKeys.OPERATORS_ADDRESS),
                        reader.read(StoreKeys.PEERS_ADDRESS),
                        reader.read(StoreKeys.STORE_ADDRESS),
                        reader.read(StoreKeys.STORE_CONTACT_LIMIT),
                        reader.read(StoreKeys.SEEDS),
                        reader.read(StoreKeys.RETRY_RATIO),
                        reader.read(StoreKeys.RETRY_SLACK),
                        reader.read(StoreKeys.STOP_GRACE),
                        reader.read(StoreKeys.CROSSING_COST),
                        reader.read(StoreKeys.SERVER_HEARTBEAT));
        if (faults.isEmpty()) {
            return Result.ok(settings);
        }
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort(Comparator.comparingInt(Fault::line));
        return Result.err(sorted);
    }
}
