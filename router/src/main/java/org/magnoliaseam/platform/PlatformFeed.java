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
import org.magnoliaseam.gateway.Publication;
import org.magnoliaseam.gateway.ServerBoard;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.settings.StoreSettings;

/** Passes what the platform's store publishes on to the product. */
public final class PlatformFeed {

    /** The beginning of the keys that operators write. */
    private static final String OPERATORS = "op/";

    /** The key of the configuration. */
    private static final String CONFIGURATION = "op/config";

    /** The beginning of the keys of failure domains that are out of service. */
    private static final String OUT = "op/evacuate/";

    /** The beginning of the keys of backend servers. */
    private static final String SERVERS = "servers/";

    /** Writes what cannot be used. */
    private static final Logger LOG = LogManager.getLogger("store");

    /** Takes the configuration. */
    private final Publication mPublication;

    /** Takes the backend servers. */
    private final ServerBoard mBoard;

    /** Follows what operators write. */
    private final StoreWatch mOperators;

    /** Follows the backend servers. */
    private final StoreWatch mServers;

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOut = new HashSet<>();

    /** Whether the backend servers have been read. */
    private final AtomicBoolean mServersRead = new AtomicBoolean();

    /**
     * Creates a feed.
     *
     * @param settings the settings of the process
     * @param client the started HTTP client
     * @param publication takes the configuration
     * @param board takes the backend servers
     */
    public PlatformFeed(
            StoreSettings settings, HttpClient client, Publication publication, ServerBoard board) {
        mPublication = publication;
        mBoard = board;
        StoreClient store = new StoreClient(client, settings.storeAddress());
        mOperators = new StoreWatch(store, OPERATORS, operators());
        mServers = new StoreWatch(store, SERVERS, servers());
    }

    /** Starts to follow the store. */
    public void start() {
        thread(mOperators, "store-operators").start();
        thread(mServers, "store-servers").start();
    }

    /** Stops following the store. */
    public void stop() {
        mOperators.stop();
        mServers.stop();
    }

    /**
     * Tells whether configuration and backend servers have been read.
     *
     * @return true once requests can be served
     */
    public boolean complete() {
        return mServersRead.get() && mPublication.catalog().isPresent();
    }

    /**
     * Creates a thread that does not keep the process alive.
     *
     * @param watch what it runs
     * @param name its name
     * @return the thread, not yet started
     */
    private static Thread thread(StoreWatch watch, String name) {
        Thread thread = new Thread(watch, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Creates what takes the operators' keys.
     *
     * @return the listener
     */
    private StoreListener operators() {
        return new StoreListener() {
            @Override
            public void snapshot(List<StoreItem> items) {
                mOut.clear();
                items.forEach(PlatformFeed.this::operator);
                mBoard.outOfService(mOut);
            }

            @Override
            public void changed(List<StoreItem> changes) {
                changes.forEach(PlatformFeed.this::operator);
                mBoard.outOfService(mOut);
            }

            @Override
            public void regained() {
                // A configuration does not lapse while the store is away.
            }

            @Override
            public void confirmed() {
                mPublication.confirmed();
            }
        };
    }

    /**
     * Creates what takes the backend servers.
     *
     * @return the listener
     */
    private StoreListener servers() {
        return new StoreListener() {
            @Override
            public void snapshot(List<StoreItem> items) {
                Set<BackendServerId> listed = new HashSet<>();
                for (StoreItem item : items) {
                    server(item);
                    id(item).ifPresent(listed::add);
                }
                mBoard.retain(listed);
                mServersRead.set(true);
            }

            @Override
            public void changed(List<StoreItem> changes) {
                changes.forEach(PlatformFeed.this::server);
            }

            @Override
            public void regained() {
                mBoard.publisherReturned();
            }

            @Override
            public void confirmed() {
                // The age of the list of backend servers decides nothing.
            }
        };
    }

    /**
     * Takes an operators' key.
     *
     * @param item the item or its removal
     */
    private void operator(StoreItem item) {
        if (item.key().startsWith(OUT)) {
            FailureDomain domain = new FailureDomain(item.key().substring(OUT.length()));
            if (item.removed()) {
                mOut.remove(domain);
            } else {
                mOut.add(domain);
            }
        } else if (item.key().equals(CONFIGURATION) && !item.removed()) {
            configuration(item);
        }
    }

    /**
     * Takes a configuration; one that cannot be used leaves the last good one in force.
     *
     * @param item the item
     */
    private void configuration(StoreItem item) {
        Result<Catalog, String> decoded = CatalogDecoder.decode(item.value());
        if (decoded instanceof Result.Ok<Catalog, String> ok) {
            mPublication.offer(ok.value());
        } else if (decoded instanceof Result.Err<Catalog, String> err) {
            LOG.error(
                    "store: configuration refused, key={} revision={} reason={}",
                    item.key(),
                    item.revision(),
                    err.error());
        }
    }

    /**
     * Takes the entry of a backend server; one that cannot be used names none.
     *
     * @param item the item or its removal
     */
    private void server(StoreItem item) {
        Optional<BackendServerId> id = id(item);
        if (id.isEmpty()) {
            LOG.warn("store: entry refused, key={} reason=the id is malformed", item.key());
        } else if (item.removed()) {
            mBoard.withdrawn(id.get());
        } else {
            Result<ServerEntry, String> decoded = ServerDecoder.decode(id.get(), item.value());
            if (decoded instanceof Result.Ok<ServerEntry, String> ok) {
                mBoard.published(ok.value());
            } else if (decoded instanceof Result.Err<ServerEntry, String> err) {
                LOG.warn("store: entry refused, key={} reason={}", item.key(), err.error());
                mBoard.withdrawn(id.get());
            }
        }
    }

    /**
     * Returns the id of a backend server.
     *
     * @param item its item
     * @return the key without the prefix; empty if it is no id
     */
    private static Optional<BackendServerId> id(StoreItem item) {
        try {
            return Optional.of(new BackendServerId(item.key().substring(SERVERS.length())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
