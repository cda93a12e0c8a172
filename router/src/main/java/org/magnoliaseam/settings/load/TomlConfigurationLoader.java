package org.magnoliaseam.settings.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationLoader;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.check.ConfigurationChecks;
import org.magnoliaseam.settings.check.ConfigurationDraft;
import org.magnoliaseam.settings.check.Located;
import org.magnoliaseam.settings.schema.AccountKeys;
import org.magnoliaseam.settings.schema.BackendServerKeys;
import org.magnoliaseam.settings.schema.ClassKeys;
import org.magnoliaseam.settings.schema.OutOfServiceKeys;
import org.magnoliaseam.settings.schema.OverlayScopeCheck;
import org.magnoliaseam.settings.schema.RoutingKeys;
import org.magnoliaseam.settings.schema.SchemaCheck;
import org.magnoliaseam.settings.schema.TableSpec;
import org.magnoliaseam.settings.toml.SectionMerger;
import org.magnoliaseam.settings.toml.TomlDocumentParser;
import org.magnoliaseam.settings.toml.TomlNode;

/** Loads a configuration from a base file and an overlay in TOML. */
public final class TomlConfigurationLoader implements ConfigurationLoader {

    /** The top-level tables of base file and overlay. */
    public static final List<TableSpec> TABLES =
            List.of(
                    ClassKeys.TABLE,
                    BackendServerKeys.TABLE,
                    AccountKeys.TABLE,
                    RoutingKeys.TABLE,
                    OutOfServiceKeys.TABLE);

    /** The tables in which the lists of base file and overlay are joined. */
    private static final Set<String> JOINED_TABLES = Set.of(OutOfServiceKeys.TABLE.name());

    /** The name of the base file for faults. */
    private final String mBaseName;

    /** The name of the overlay for faults. */
    private final String mOverlayName;

    /**
     * Creates a loader.
     *
     * @param baseName the name of the base file for faults
     * @param overlayName the name of the overlay for faults
     */
    public TomlConfigurationLoader(String baseName, String overlayName) {
        mBaseName = baseName;
        mOverlayName = overlayName;
    }

    @Override
    public Result<Configuration, List<Fault>> load(ConfigurationText text) {
        Set<Fault> faults = new LinkedHashSet<>();
        TomlNode.Section base = parse(mBaseName, text.base(), faults);
        TomlNode.Section overlay = parse(mOverlayName, text.overlay(), faults);
        if (base == null || overlay == null) {
            return Result.err(sorted(faults));
        }
        OverlayScopeCheck scope = new OverlayScopeCheck(base, overlay);
        faults.addAll(scope.check(TABLES));
        SectionMerger merger = new SectionMerger(JOINED_TABLES);
        TomlNode.Section merged = merger.merge(base, scope.permitted(TABLES));
        ConfigurationDraft draft = new DraftReader(merged, faults::add).read();
        ConfigurationChecks.ALL.forEach(check -> check.check(draft, faults::add));
        return faults.isEmpty() ? Result.ok(configuration(draft)) : Result.err(sorted(faults));
    }

    /**
     * Parses one file and checks its keys and values.
     *
     * @param name the name of the file
     * @param text the TOML text
     * @param faults receives the faults
     * @return the document; null if it has syntax errors
     */
    private static TomlNode.Section parse(String name, String text, Set<Fault> faults) {
        return new TomlDocumentParser(name)
                .parse(text)
                .fold(
                        document -> {
                            faults.addAll(SchemaCheck.checkTables(document, TABLES));
                            return document;
                        },
                        errors -> {
                            faults.addAll(errors);
                            return null;
                        });
    }

    /**
     * Sorts faults by file and line.
     *
     * @param faults the faults
     * @return the faults of the base file, then those of the overlay
     */
    private List<Fault> sorted(Set<Fault> faults) {
        List<Fault> list = new ArrayList<>(faults);
        list.sort(
                Comparator.comparing((Fault fault) -> !fault.file().equals(mBaseName))
                        .thenComparingInt(Fault::line));
        return Collections.unmodifiableList(list);
    }

    /**
     * Converts a draft that has no faults.
     *
     * @param draft the draft
     * @return the configuration
     */
    private static Configuration configuration(ConfigurationDraft draft) {
        return new Configuration(
                values(draft.classes()),
                values(draft.backendServers()),
                values(draft.accounts()),
                draft.outOfService().value(),
                draft.tuning().value(),
                ConfigurationDigest.of(draft));
    }

    /**
     * Removes the files and lines from the records of a map.
     *
     * @param located the records with their files and lines
     * @param <K> the type of the identifiers
     * @param <T> the type of the records
     * @return an immutable map in the same order
     */
    private static <K, T> Map<K, T> values(Map<K, Located<T>> located) {
        Map<K, T> values = new LinkedHashMap<>();
        located.forEach((id, entry) -> values.put(id, entry.value()));
        return Collections.unmodifiableMap(values);
    }
}
