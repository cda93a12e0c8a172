package org.magnoliaseam.settings.load;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.Identifiers;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.LatencyTargets;
import org.magnoliaseam.settings.OutOfService;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.RouterTuning;
import org.magnoliaseam.settings.check.ConfigurationDraft;
import org.magnoliaseam.settings.check.Located;
import org.magnoliaseam.settings.schema.AccountKeys;
import org.magnoliaseam.settings.schema.BackendServerKeys;
import org.magnoliaseam.settings.schema.ClassKeys;
import org.magnoliaseam.settings.schema.KeyPath;
import org.magnoliaseam.settings.schema.OutOfServiceKeys;
import org.magnoliaseam.settings.schema.RoutingKeys;
import org.magnoliaseam.settings.schema.SectionReader;
import org.magnoliaseam.settings.schema.TableSpec;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads the typed records of a merged document. */
final class DraftReader {

    /** The merged document. */
    private final TomlNode.Section mRoot;

    /** Receives the faults. */
    private final Consumer<Fault> mFaults;

    /**
     * Creates a reader.
     *
     * @param root the merged document
     * @param faults receives the faults
     */
    DraftReader(TomlNode.Section root, Consumer<Fault> faults) {
        mRoot = root;
        mFaults = faults;
    }

    /**
     * Reads the whole document.
     *
     * @return the draft, with placeholders for malformed parts
     */
    ConfigurationDraft read() {
        return new ConfigurationDraft(
                mRoot,
                entries(ClassKeys.TABLE, RequestClassId::new, DraftReader::requestClass),
                entries(BackendServerKeys.TABLE, BackendServerId::new, DraftReader::backendServer),
                entries(AccountKeys.TABLE, ClientAccountId::new, DraftReader::account),
                table(OutOfServiceKeys.TABLE, DraftReader::outOfService),
                table(RoutingKeys.TABLE, DraftReader::tuning));
    }

    /**
     * Reads the named entries of a table.
     *
     * @param table the table
     * @param conversion creates the identifier
     * @param factory creates the record
     * @param <K> the type of the identifier
     * @param <T> the type of the record
     * @return the records by identifier
     */
    private <K extends Comparable<K>, T> SortedMap<K, Located<T>> entries(
            TableSpec table,
            Function<String, K> conversion,
            BiFunction<K, SectionReader, T> factory) {
        SortedMap<K, Located<T>> found = new TreeMap<>();
        mRoot.section(table.name())
                .entries()
                .forEach(
                        (name, node) -> {
                            if (Identifiers.isValid(name)
                                    && node instanceof TomlNode.Section section) {
                                K id = conversion.apply(name);
                                String path = KeyPath.of(table.name(), name);
                                found.put(id, located(section, path, r -> factory.apply(id, r)));
                            }
                        });
        return found;
    }

    /**
     * Reads a table of keys.
     *
     * @param table the table
     * @param factory creates the record
     * @param <T> the type of the record
     * @return the record
     */
    private <T> Located<T> table(TableSpec table, Function<SectionReader, T> factory) {
        return located(mRoot.section(table.name()), table.name(), factory);
    }

    /**
     * Reads one record.
     *
     * @param section the table that holds the record
     * @param path the dotted key of the table
     * @param factory creates the record
     * @param <T> the type of the record
     * @return the record with its file and line
     */
    private <T> Located<T> located(
            TomlNode.Section section, String path, Function<SectionReader, T> factory) {
        SectionReader reader = new SectionReader(section, path, mFaults);
        T value = factory.apply(reader);
        return new Located<>(value, path, section, reader.complete());
    }

    /**
     * Reads a request class.
     *
     * @param id the name of the class
     * @param reader reads the keys
     * @return the class
     */
    private static RequestClass requestClass(RequestClassId id, SectionReader reader) {
        return new RequestClass(
                id,
                new Tier(reader.read(ClassKeys.TIER)),
                new LatencyTargets(
                        reader.read(ClassKeys.FIRST_TOKEN),
                        reader.read(ClassKeys.BETWEEN_TOKENS),
                        reader.read(ClassKeys.WHOLE_ANSWER)),
                reader.read(ClassKeys.OBJECTIVE),
                reader.read(ClassKeys.GUARANTEED_SHARE),
                reader.read(ClassKeys.MAX_QUEUE_WAIT),
                sorted(reader.read(ClassKeys.BACKEND_SERVERS)),
                sorted(reader.read(ClassKeys.MODELS)),
                reader.read(ClassKeys.SERVICE),
                sorted(reader.read(ClassKeys.METHODS)),
                reader.read(ClassKeys.IDEMPOTENT));
    }

    /**
     * Reads a backend server.
     *
     * @param id the name of the server
     * @param reader reads the keys
     * @return the server
     */
    private static BackendServer backendServer(BackendServerId id, SectionReader reader) {
        return new BackendServer(
                id,
                reader.read(BackendServerKeys.KIND),
                reader.read(BackendServerKeys.ADDRESS),
                reader.read(BackendServerKeys.REGION),
                reader.read(BackendServerKeys.FAILURE_DOMAIN),
                sorted(reader.read(BackendServerKeys.MODELS)),
                reader.read(BackendServerKeys.SERVICE),
                reader.read(BackendServerKeys.WARM_LIMIT),
                reader.read(BackendServerKeys.COLD_LIMIT),
                reader.read(BackendServerKeys.CHECKS_FENCING));
    }

    /**
     * Reads a client account.
     *
     * @param id the name of the account
     * @param reader reads the keys
     * @return the account
     */
    private static ClientAccount account(ClientAccountId id, SectionReader reader) {
        return new ClientAccount(
                id,
                sorted(reader.read(AccountKeys.KEY_HASHES)),
                sorted(reader.read(AccountKeys.CLASSES)),
                reader.read(AccountKeys.DEFAULT_CLASS),
                reader.read(AccountKeys.REQUESTS_PER_SECOND),
                reader.read(AccountKeys.MAX_IN_FLIGHT));
    }

    /**
     * Reads which parts of the site are out of service.
     *
     * @param reader reads the keys
     * @return the parts that are out of service
     */
    private static OutOfService outOfService(SectionReader reader) {
        return new OutOfService(
                sorted(reader.read(OutOfServiceKeys.FAILURE_DOMAINS)),
                sorted(reader.read(OutOfServiceKeys.VMS)),
                sorted(reader.read(OutOfServiceKeys.BACKEND_SERVERS)));
    }

    /**
     * Reads the routing limits.
     *
     * @param reader reads the keys
     * @return the limits
     */
    private static RouterTuning tuning(SectionReader reader) {
        return new RouterTuning(
                reader.read(RoutingKeys.QUEUE_LIMIT),
                reader.read(RoutingKeys.RETRY_BUDGET),
                reader.read(RoutingKeys.TICKET_TTL),
                reader.read(RoutingKeys.SUSPECT_TTL),
                reader.read(RoutingKeys.VM_LIST_LAG));
    }

    /**
     * Sorts items so that the order of the set does not depend on the order in the file.
     *
     * @param items the items
     * @param <T> the type of the items
     * @return an immutable set
     */
    private static <T extends Comparable<T>> Set<T> sorted(List<T> items) {
        return Collections.unmodifiableSet(new LinkedHashSet<>(new TreeSet<>(items)));
    }
}
