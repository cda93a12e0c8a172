package org.magnoliaseam.publication;

import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.rollout.PollSchedule;

/** Tests that a published value that cannot be applied does not end the reads of later ones. */
class FailedValueTest {

    @Test
    void valueIsReadAgainAfterOneThatWasNotApplied() throws Exception {
        HttpServer platform =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        platform.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(200, -1);
                    exchange.close();
                });
        platform.start();
        HttpClient client = new HttpClient();
        client.start();
        ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
        AtomicInteger values = new AtomicInteger();
        Watch watch =
                new Watch(
                        client,
                        URI.create("http:/" + platform.getAddress() + "/vms?site=s"),
                        () -> 0,
                        body -> {
                            if (values.incrementAndGet() == 1) {
                                throw new IllegalStateException("first value");
                            }
                        },
                        timers,
                        new PollSchedule(new Random(1), System.nanoTime()),
                        () -> true,
                        System::nanoTime);
        try {
            watch.start();
            await().atMost(Duration.ofSeconds(20)).until(() -> values.get() > 1);
        } finally {
            watch.stop();
            timers.shutdownNow();
            client.stop();
            platform.stop(0);
        }
    }
}
