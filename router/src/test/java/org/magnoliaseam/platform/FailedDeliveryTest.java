package org.magnoliaseam.platform;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.rollout.ContactSchedule;
import org.magnoliaseam.rollout.OverdueChange;
import org.magnoliaseam.rollout.PublisherContact;

/** Tests that items which cannot be delivered do not end the watch of the store. */
class FailedDeliveryTest {

    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

    @Test
    void watchGoesOnAfterAnError() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        FaultyStore store = new FaultyStore(threads);
        HttpClient client = new HttpClient();
        client.start();
        AtomicInteger snapshots = new AtomicInteger();
        StoreListener listener =
                new StoreListener() {
                    @Override
                    public void snapshot(List<StoreItem> items) {
                        if (snapshots.incrementAndGet() == 1) {
                            throw new StackOverflowError();
                        }
                    }

                    @Override
                    public void restored(List<StoreItem> items) {}

                    @Override
                    public void changed(List<StoreItem> changes) {}

                    @Override
                    public void returned() {}

                    @Override
                    public void upToDate() {}
                };
        StoreWatch watch =
                new StoreWatch(
                        new StoreClient(client, store.address()),
                        "",
                        new ContactSchedule(CONTACT_LIMIT, new Random(1), System.nanoTime()),
                        new OverdueChange(CONTACT_LIMIT, System.nanoTime()),
                        new PublisherContact(CONTACT_LIMIT, System.nanoTime()),
                        listener,
                        System::nanoTime);
        try {
            threads.execute(watch);
            await().atMost(CONTACT_LIMIT).until(() -> snapshots.get() > 1);
        } finally {
            watch.stop();
            threads.shutdownNow();
            store.stop();
            client.stop();
        }
    }
}
