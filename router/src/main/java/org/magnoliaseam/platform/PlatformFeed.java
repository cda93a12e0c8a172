package org.magnoliaseam.platform;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.ServerPool;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.settings.StoreSettings;

/** Passes changes in the platform's metadata store to the router. */
public final class PlatformFeed {

    /** The prefix of the keys that operators write. */
    private static final String OPERATOR_PREFIX = "op/";

    /** The key of the configuration. */
    private static final String CONFIGURATION_KEY = "op/config";

    /** The prefix of the keys that name failure domains out of service. */
    private static final String OUT_OF_SERVICE_PREFIX = "op/evacuate/";

    /** The prefix of the keys of backend servers. */
    private static final String SERVER_PREFIX = "servers/";

    /** Logs refused configurations and entries. */
    private static final Logger LOG = LogManager.getLogger("store");

    /** Receives the configuration. */
    private final CurrentCatalog mCurrentCatalog;

    /** Receives the backend servers. */
    private final ServerPool mPool;

    /** Watches the keys that operators write. */
    private final StoreWatch mOperators;

    /** Watches the keys of backend servers. */
    private final StoreWatch mServers;

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOutOfService = new HashSet<>();

    /** Whether all backend servers have been read once. */
    private final AtomicBoolean mServersRead = new AtomicBoolean();

    /**
     * Creates a feed.
     *
     * @param settings the settings of the process
     * @param client the started HTTP client
     * @param currentCatalog receives the configuration
     * @param pool receives the backend servers
     */
    public PlatformFeed(
            StoreSettings settings,
            HttpClient client,
            CurrentCatalog currentCatalog,
            ServerPool pool) {
        mCurrentCatalog = currentCatalog;
        mPool = pool;
        StoreClient store = new StoreClient(client, settings.storeAddress());
        mOperators = new StoreWatch(store, OPERATOR_PREFIX, operatorListener());
        mServers = new StoreWatch(store, SERVER_PREFIX, serverListener());
    }

    /** Starts watching the store. */
    public void start() {
        thread(mOperators, "store-operators").start();
        thread(mServers, "store-servers").start();
    }

    /** Stops watching the store. */
    public void stop() {
        mOperators.stop();
        mServers.stop();
    }

    /**
     * Returns whether the configuration and the backend servers have been read.
     *
     * @return true once requests can be served
     */
    public boolean complete() {
        return mServersRead.get() && mCurrentCatalog.catalog().isPresent();
    }

    /**
     * Creates a daemon thread.
     *
     * @param watch the watch to run
     * @param name the name of the thread
     * @return the thread, not yet started
     */
    private static Thread thread(StoreWatch watch, String name) {
        Thread thread = new Thread(watch, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Creates the listener for the operators' keys.
     *
     * @return the listener
     */
    private StoreListener operatorListener() {
        return new StoreListener() {
            @Override
            public void snapshot(List<StoreItem> items) {
                mOutOfService.clear();
                items.forEach(PlatformFeed.this::applyOperatorItem);
                mPool.outOfService(mOutOfService);
            }

            @Override
            public void changed(List<StoreItem> changes) {
                changes.forEach(PlatformFeed.this::applyOperatorItem);
                mPool.outOfService(mOutOfService);
            }

            @Override
            public void reconnected() {
                // The configuration stays valid while the store is unreachable.
            }

            @Override
            public void upToDate() {
                mCurrentCatalog.confirmed();
            }
        };
    }

    /**
     * Creates the listener for the backend servers.
     *
     * @return the listener
     */
    private StoreListener serverListener() {
        return new StoreListener() {
            @Override
            public void snapshot(List<StoreItem> items) {
                Set<BackendServerId> listed = new HashSet<>();
                for (StoreItem item : items) {
                    applyServerItem(item);
                    id(item).ifPresent(listed::add);
                }
                mPool.retain(listed);
                mServersRead.set(true);
            }

            @Override
            public void changed(List<StoreItem> changes) {
                changes.forEach(PlatformFeed.this::applyServerItem);
            }

            @Override
            public void reconnected() {
                mPool.publisherReturned();
            }

            @Override
            public void upToDate() {
                // Nothing depends on the age of the list of backend servers.
            }
        };
    }

    /**
     * Applies a change of an operators' key.
     *
     * @param item the item or its removal
     */
    private void applyOperatorItem(StoreItem item) {
        if (item.key().startsWith(OUT_OF_SERVICE_PREFIX)) {
            FailureDomain domain =
                    new FailureDomain(item.key().substring(OUT_OF_SERVICE_PREFIX.length()));
            if (item.removed()) {
                mOutOfService.remove(domain);
            } else {
                mOutOfService.add(domain);
            }
        } else if (item.key().equals(CONFIGURATION_KEY) && !item.removed()) {
            applyConfiguration(item);
        }
    }

    /**
     * Applies a configuration. If it is invalid, the last valid one stays in use.
     *
     * @param item the item
     */
    private void applyConfiguration(StoreItem item) {
        Result<Catalog, String> decoded = CatalogDecoder.decode(item.value());
        if (decoded instanceof Result.Ok<Catalog, String> ok) {
            mCurrentCatalog.offer(ok.value());
        } else if (decoded instanceof Result.Err<Catalog, String> err) {
            LOG.error(
                    "store: configuration refused, key={} revision={} reason={}",
                    item.key(),
                    item.revision(),
                    err.error());
        }
    }

    /**
     * Applies the entry of a backend server. An invalid entry withdraws the server.
     *
     * @param item the item or its removal
     */
    private void applyServerItem(StoreItem item) {
        Optional<BackendServerId> id = id(item);
        if (id.isEmpty()) {
            LOG.warn("store: entry refused, key={} reason=the id is malformed", item.key());
        } else if (item.removed()) {
            mPool.withdrawn(id.get());
        } else {
            Result<ServerEntry, String> decoded = ServerDecoder.decode(id.get(), item.value());
            if (decoded instanceof Result.Ok<ServerEntry, String> ok) {
                mPool.published(ok.value());
            } else if (decoded instanceof Result.Err<ServerEntry, String> err) {
                LOG.warn("store: entry refused, key={} reason={}", item.key(), err.error());
                mPool.withdrawn(id.get());
            }
        }
    }

    /**
     * Returns the id of a backend server.
     *
     * @param item the item of the backend server
     * @return the key without the prefix; empty if it is not a valid id
     */
    private static Optional<BackendServerId> id(StoreItem item) {
        try {
            return Optional.of(new BackendServerId(item.key().substring(SERVER_PREFIX.length())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
