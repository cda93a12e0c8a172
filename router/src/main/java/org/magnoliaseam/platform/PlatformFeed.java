package org.magnoliaseam.platform;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.gateway.CurrentCatalog;
import org.magnoliaseam.gateway.PublishedRevision;
import org.magnoliaseam.gateway.PublishedServers;
import org.magnoliaseam.leaving.RestoredPublication;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.rollout.ContactSchedule;
import org.magnoliaseam.rollout.OverdueChange;
import org.magnoliaseam.rollout.PublisherContact;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.time.MonotonicClock;

/** Passes changes in the platform's metadata store to the router. */
public final class PlatformFeed {

    /** The prefix of all keys. */
    private static final String ALL_KEYS = "";

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
    private final PublishedServers mServers;

    /** Receives the revisions of applied changes. */
    private final PublishedRevision mPublished;

    /** Watches all keys, since each call of the store counts. */
    private final StoreWatch mWatch;

    /** The time in which everything that a restored store has lost is written again. */
    private final Duration mRewriteLimit;

    /** The failure domains that are out of service. */
    private final Set<FailureDomain> mOutOfService = new HashSet<>();

    /** Whether all keys have been read once. */
    private final AtomicBoolean mRead = new AtomicBoolean();

    /**
     * Creates a feed.
     *
     * @param settings the settings of the process
     * @param client the started HTTP client
     * @param currentCatalog receives the configuration
     * @param servers receives the backend servers
     * @param published receives the revisions of changes, and tells which ones peers have
     * @param clock the clock
     */
    public PlatformFeed(
            StoreSettings settings,
            HttpClient client,
            CurrentCatalog currentCatalog,
            PublishedServers servers,
            PublishedRevision published,
            MonotonicClock clock) {
        mCurrentCatalog = currentCatalog;
        mServers = servers;
        mPublished = published;
        mRewriteLimit = RestoredPublication.limit(settings.serverHeartbeat());
        StoreClient store = new StoreClient(client, settings.storeAddress());
        ContactSchedule schedule =
                new ContactSchedule(settings.storeContactLimit(), new Random(), clock.nanos());
        OverdueChange overdue = new OverdueChange(settings.storeContactLimit(), clock.nanos());
        PublisherContact contact = new PublisherContact(settings.serverHeartbeat(), clock.nanos());
        mWatch =
                new StoreWatch(
                        store, ALL_KEYS, schedule, overdue, contact, listener(schedule), clock);
        published.observe(mWatch::heard);
    }

    /** Starts watching the store. */
    public void start() {
        Thread thread = new Thread(mWatch, "store");
        thread.setDaemon(true);
        thread.start();
    }

    /** Stops watching the store. */
    public void stop() {
        mWatch.stop();
    }

    /**
     * Registers the counts of the contact with the store.
     *
     * @param metrics the registry for the gauges
     */
    public void register(MetricRegistry metrics) {
        metrics.registerGauge("store.watches_cut", mWatch::cuts);
        metrics.registerGauge("store.outages", mWatch::outages);
    }

    /**
     * Returns whether the configuration and the backend servers have been read.
     *
     * @return true once requests can be served
     */
    public boolean complete() {
        return mRead.get() && mCurrentCatalog.catalog().isPresent();
    }

    /**
     * Creates the listener for changes.
     *
     * @param schedule decides when the store is called
     * @return the listener
     */
    private StoreListener listener(ContactSchedule schedule) {
        return new StoreListener() {
            @Override
            public void snapshot(List<StoreItem> items) {
                mOutOfService.clear();
                items.forEach(item -> apply(item, mServers::listed));
                mServers.takeOut(mOutOfService);
                mServers.retain(listed(items));
                mRead.set(true);
            }

            @Override
            public void restored(List<StoreItem> items) {
                mCurrentCatalog.publisherRestored(mRewriteLimit);
                mServers.publisherRestored(mRewriteLimit);
                snapshot(items);
            }

            @Override
            public void changed(List<StoreItem> changes) {
                changes.forEach(item -> apply(item, mServers::add));
                mServers.takeOut(mOutOfService);
            }

            @Override
            public void returned() {
                mServers.publisherReturned();
            }

            @Override
            public void upToDate() {
                mCurrentCatalog.confirmed();
                schedule.fleetSize(mServers.entryVms());
            }
        };
    }

    /**
     * Returns the backend servers in a full list.
     *
     * @param items all items
     * @return the ids of the backend servers
     */
    private static Set<BackendServerId> listed(List<StoreItem> items) {
        Set<BackendServerId> listed = new HashSet<>();
        for (StoreItem item : items) {
            if (item.key().startsWith(SERVER_PREFIX)) {
                id(item).ifPresent(listed::add);
            }
        }
        return listed;
    }

    /**
     * Applies a change. One that cannot be applied does not keep the others from being applied.
     *
     * @param item the item or its removal
     * @param servers receives the entry of a backend server
     */
    private void apply(StoreItem item, Consumer<ServerEntry> servers) {
        try {
            applyItem(item, servers);
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("store: change refused, key={} revision={}", item.key(), item.revision(), e);
        }
        mPublished.applied(item.revision());
    }

    /**
     * Applies a change of any key; other keys are ignored.
     *
     * @param item the item or its removal
     * @param servers receives the entry of a backend server
     */
    private void applyItem(StoreItem item, Consumer<ServerEntry> servers) {
        if (item.key().startsWith(SERVER_PREFIX)) {
            applyServerItem(item, servers);
        } else {
            applyOperatorItem(item);
        }
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
            LOG.info(
                    "store: configuration read, version={} revision={}",
                    ok.value().version(),
                    item.revision());
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
     * @param servers receives the entry
     */
    private void applyServerItem(StoreItem item, Consumer<ServerEntry> servers) {
        Optional<BackendServerId> id = id(item);
        if (id.isEmpty()) {
            LOG.warn("store: entry refused, key={} reason=the id is malformed", item.key());
        } else if (item.removed()) {
            mServers.withdraw(id.get());
        } else {
            Result<ServerEntry, String> decoded = ServerDecoder.decode(id.get(), item.value());
            if (decoded instanceof Result.Ok<ServerEntry, String> ok) {
                servers.accept(ok.value());
            } else if (decoded instanceof Result.Err<ServerEntry, String> err) {
                LOG.warn("store: entry refused, key={} reason={}", item.key(), err.error());
                mServers.withdraw(id.get());
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
