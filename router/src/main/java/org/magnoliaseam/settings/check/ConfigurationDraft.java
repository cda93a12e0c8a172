package org.magnoliaseam.settings.check;

import java.util.Set;
import java.util.SortedMap;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.OutOfService;
import org.magnoliaseam.settings.RequestClass;
import org.magnoliaseam.settings.RouterTuning;
import org.magnoliaseam.settings.schema.TableSpec;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Holds a merged configuration that has not been checked yet.
 *
 * @param root the merged document
 * @param classes the request classes by name
 * @param backendServers the backend servers by name
 * @param accounts the client accounts by name
 * @param outOfService the parts of the site that take no new work
 * @param tuning the routing limits
 */
public record ConfigurationDraft(
        TomlNode.Section root,
        SortedMap<RequestClassId, Located<RequestClass>> classes,
        SortedMap<BackendServerId, Located<BackendServer>> backendServers,
        SortedMap<ClientAccountId, Located<ClientAccount>> accounts,
        Located<OutOfService> outOfService,
        Located<RouterTuning> tuning) {

    /**
     * Returns the names of all entries of a table, including malformed entries.
     *
     * @param table the table
     * @return the names
     */
    public Set<String> entryNames(TableSpec table) {
        return root.section(table.name()).entries().keySet();
    }
}
