package org.magnoliaseam.settings.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.settings.schema.KeySpec;
import org.magnoliaseam.settings.schema.SchemaCheck;
import org.magnoliaseam.settings.schema.SectionReader;
import org.magnoliaseam.settings.schema.StoreKeys;
import org.magnoliaseam.settings.toml.TomlDocumentParser;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Loads the local settings of a process at a site that a metadata store publishes. The platform
 * fills in the optional keys, so a value that cannot be used keeps neither the process from
 * starting nor the other keys from taking effect: the value in force or the default is used in its
 * place. A required key needs a usable value.
 */
public final class StoreSettingsLoader {

    /** The settings in force; empty before the start. */
    private final Optional<StoreSettings> mInForce;

    /** Creates a loader for a process that starts. Defaults replace unusable optional values. */
    public StoreSettingsLoader() {
        mInForce = Optional.empty();
    }

    /**
     * Creates a loader for a running process.
     *
     * @param inForce the settings in force, whose values replace unusable optional ones
     */
    public StoreSettingsLoader(StoreSettings inForce) {
        mInForce = Optional.of(inForce);
    }

    /**
     * Loads a file.
     *
     * @param file the file
     * @return the settings, or all faults found if they cannot be used
     */
    public Result<LoadedStoreSettings, List<Fault>> load(Path file) {
        return SettingsFile.read(file)
                .fold(text -> parse(file.toString(), text), fault -> Result.err(List.of(fault)));
    }

    /**
     * Parses the text of a file.
     *
     * @param name the name of the file for faults
     * @param text the text
     * @return the settings, or all faults found if they cannot be used
     */
    private Result<LoadedStoreSettings, List<Fault>> parse(String name, String text) {
        return new TomlDocumentParser(name).parse(text).fold(this::read, Result::err);
    }

    /**
     * Reads the keys.
     *
     * @param root the root table
     * @return the settings, or the faults sorted by line
     */
    private Result<LoadedStoreSettings, List<Fault>> read(TomlNode.Section root) {
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
                        optional(
                                reader,
                                StoreKeys.STORE_CONTACT_LIMIT,
                                StoreSettings::storeContactLimit),
                        optional(reader, StoreKeys.SEEDS, StoreSettings::seeds),
                        optional(reader, StoreKeys.RETRY_RATIO, StoreSettings::retryRatio),
                        optional(reader, StoreKeys.RETRY_SLACK, StoreSettings::retrySlack),
                        optional(reader, StoreKeys.STOP_GRACE, StoreSettings::stopGrace),
                        optional(reader, StoreKeys.CROSSING_COST, StoreSettings::crossingCost),
                        optional(
                                reader,
                                StoreKeys.SERVER_HEARTBEAT,
                                StoreSettings::serverHeartbeat));
        List<Fault> sorted = new ArrayList<>(faults);
        sorted.sort(Comparator.comparingInt(Fault::line));
        return sorted.stream().allMatch(StoreSettingsLoader::isOptional)
                ? Result.ok(new LoadedStoreSettings(settings, List.copyOf(sorted)))
                : Result.err(sorted);
    }

    /**
     * Reads an optional key.
     *
     * @param reader reads the table
     * @param key the key
     * @param inForce returns the value in force
     * @param <T> the type of the value
     * @return the value, its default if it is absent, or the substitute for an unusable one
     */
    private <T> T optional(
            SectionReader reader, KeySpec<T> key, Function<StoreSettings, T> inForce) {
        return reader.read(key, mInForce.map(inForce).orElse(key.fallback()));
    }

    /**
     * Tells whether a fault concerns the value of an optional key.
     *
     * @param fault the fault
     * @return false for a required key, an unknown one or the file as a whole
     */
    private static boolean isOptional(Fault fault) {
        return StoreKeys.TABLE.find(fault.key()).filter(key -> !key.required()).isPresent();
    }
}
