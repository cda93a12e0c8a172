package org.magnoliaseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.gateway.GatewayFixtures.DESK;
import static org.magnoliaseam.gateway.GatewayFixtures.MILLI;
import static org.magnoliaseam.gateway.GatewayFixtures.OWN_DOMAIN;
import static org.magnoliaseam.gateway.GatewayFixtures.request;
import static org.magnoliaseam.gateway.GatewayFixtures.route;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.catalog.AccountDirectory;
import org.magnoliaseam.catalog.CallerLimits;
import org.magnoliaseam.catalog.Catalog;
import org.magnoliaseam.catalog.RequestKind;
import org.magnoliaseam.catalog.ServerEntry;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.FailureDomain;

/** Tests what counts after the publisher came back from a copy that is older than its last list. */
class RestoredPublisherTest {

    private static final Duration LIMIT = Duration.ofMillis(4800);

    private static final FailureDomain FAR = new FailureDomain("far");

    private final AtomicLong mNow = new AtomicLong(1);

    private final ServerPool mPool =
            new ServerPool(OWN_DOMAIN, () -> GatewayFixtures.RETRIES, mNow::get);

    private final PublishedServers mServers = mPool.publishedServers();

    @BeforeEach
    void publish() {
        mServers.add(entry("sound", OWN_DOMAIN, 1));
        mServers.add(entry("gone", FAR, 1));
    }

    private static ServerEntry entry(String id, FailureDomain domain, long startMark) {
        return new ServerEntry(
                new BackendServerId(id),
                DESK,
                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                domain,
                64,
                false,
                0,
                startMark);
    }

    private static BackendServerId id(String text) {
        return new BackendServerId(text);
    }

    /** Applies the full list of the copy. */
    private void restore(ServerEntry... copy) {
        mServers.publisherRestored(LIMIT);
        Stream.of(copy).forEach(mServers::listed);
        mServers.takeOut(Set.of());
        mServers.retain(Stream.of(copy).map(ServerEntry::id).collect(Collectors.toSet()));
    }

    private void pass(long millis) {
        mNow.addAndGet(millis * MILLI);
        mPool.members(GatewayFixtures.members(1));
    }

    /** Returns whether a backend server may get new requests. */
    private boolean inService(String id) {
        GatewayRequest probe =
                request("probe", route(RequestKind.REPEATABLE, 2, false, 0), Prompt.NONE);
        Set<BackendServerId> others =
                Stream.of("sound", "gone", "new")
                        .filter(other -> !other.equals(id))
                        .map(BackendServerId::new)
                        .collect(Collectors.toSet());
        return mPool.choose(probe, others, false) instanceof ServerChoice.Start;
    }

    /** Tests backend servers that the copy lists although they have gone. */
    @Nested
    class Gone {
        @BeforeEach
        void withdraw() {
            mServers.withdraw(id("gone"));
            restore(entry("sound", OWN_DOMAIN, 1), entry("gone", FAR, 1));
        }

        @Test
        void serverThatLeftGetsNothingUntilItsEntryExpires() {
            assertThat(inService("gone")).isFalse();
            pass(3600);
            mServers.withdraw(id("gone"));
            pass(2000);
            assertThat(inService("gone")).isFalse();
            assertThat(inService("sound")).isTrue();
        }

        @Test
        void serverThatPublishesItsEntryAgainReturnsAtOnce() {
            mServers.add(entry("gone", FAR, 1));
            assertThat(inService("gone")).isTrue();
        }

        @Test
        void serverThatStaysListedReturnsAfterTheLimit() {
            pass(4799);
            assertThat(inService("gone")).isFalse();
            pass(1);
            assertThat(inService("gone")).isTrue();
        }

        @Test
        void fullListInBetweenDoesNotBringItBack() {
            mServers.listed(entry("gone", FAR, 1));
            assertThat(inService("gone")).isFalse();
        }

        @Test
        void laterStartUnderTheSameIdCountsAtOnce() {
            mServers.listed(entry("gone", FAR, 2));
            assertThat(inService("gone")).isTrue();
        }
    }

    /** Tests what the copy lacks although it was published. */
    @Nested
    class Lacking {
        @Test
        void serverThatCameAfterTheCopyServesOnUntilItPublishesAgain() {
            mServers.add(entry("new", OWN_DOMAIN, 1));
            restore(entry("sound", OWN_DOMAIN, 1));
            assertThat(inService("new")).isTrue();
            pass(1500);
            mServers.add(entry("new", OWN_DOMAIN, 1));
            pass(3000);
            assertThat(inService("new")).isTrue();
        }

        @Test
        void failureDomainStaysOutOfServiceUntilThatIsPublishedAgainAndWithdrawn() {
            mServers.takeOut(Set.of(FAR));
            restore(entry("sound", OWN_DOMAIN, 1), entry("gone", FAR, 1));
            assertThat(inService("gone")).isFalse();
            mServers.takeOut(Set.of(FAR));
            pass(1000);
            assertThat(inService("gone")).isFalse();
            mServers.takeOut(Set.of());
            assertThat(inService("gone")).isTrue();
        }

        @Test
        void failureDomainReturnsAfterTheLimit() {
            mServers.takeOut(Set.of(FAR));
            restore(entry("sound", OWN_DOMAIN, 1), entry("gone", FAR, 1));
            pass(4800);
            assertThat(inService("gone")).isTrue();
        }
    }

    /** Tests whether routes and keys that the current catalog lacks are refused as unknown. */
    @Nested
    class Unknown {
        private final CurrentCatalog mCatalog = new CurrentCatalog(LIMIT, mNow::get);

        @BeforeEach
        void offer() {
            mCatalog.offer(catalog(5));
            mCatalog.confirmed();
            mCatalog.publisherRestored(LIMIT);
        }

        private static Catalog catalog(long version) {
            return new Catalog(
                    version,
                    List.of(),
                    List.of(),
                    AccountDirectory.NONE,
                    new CallerLimits(1000, 1000));
        }

        private boolean isFresh() {
            mCatalog.confirmed();
            return mCatalog.fresh();
        }

        @Test
        void catalogIsNotFreshWhileTheOneInForceIsNotPublishedAgain() {
            mCatalog.offer(catalog(4));
            pass(60_000);
            assertThat(isFresh()).isFalse();
            assertThat(mCatalog.catalog().orElseThrow().version()).isEqualTo(5);
            mCatalog.offer(catalog(5));
            assertThat(isFresh()).isTrue();
        }

        @Test
        void catalogIsNotFreshWhileALaterOneMayHaveBeenLost() {
            mCatalog.offer(catalog(5));
            pass(4799);
            assertThat(isFresh()).isFalse();
            pass(1);
            assertThat(isFresh()).isTrue();
        }
    }
}
