package org.magnoliaseam.testbed.harness;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.engine.EngineAnswers;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.proxy.Fault;
import org.magnoliaseam.testbed.proxy.LinkFaults;

/** Tests a complete site of real processes behind fault proxies. */
class HarnessIT {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final ChatCall CALL =
            ChatCall.streamed(SiteSpec.KEYS.get(0), SiteSpec.MODEL, "hello [[tokens=12]]");

    private static boolean answered(TestSite site, int entry) {
        String expected =
                new EngineAnswers(EngineAnswers.DEFAULT_MEAN_TOKENS)
                        .answer(Json.tree(CALL.body()))
                        .text();
        CallerAnswer answer = site.client().chat(site.entry(entry).callers(), CALL);
        return answer.whole() && answer.text().equals(expected);
    }

    private static long version(TestSite site, int entry) {
        return site.entry(entry).get("/status").path("configurationVersion").asLong();
    }

    @Test
    void servesWithoutThePlatformAndCatchesUpAfterwards() {
        SiteSpec spec = new SiteSpec().withProxies().withRouting("ticket-ttl = \"3 s\"");
        try (TestSite site = TestSite.start(spec)) {
            await().atMost(TIMEOUT).until(() -> answered(site, 0));
            await().atMost(TIMEOUT).until(() -> answered(site, 1));
            List<String> entries = List.of("entry-1", "entry-2");
            site.links().apply(entries, List.of(TestSite.PLATFORM), LinkFaults.both(Fault.CUT));
            long version = site.publishOverlay("");
            assertThat(answered(site, 0)).isTrue();
            assertThat(version(site, 0)).isLessThan(version);
            site.links().heal();
            await().atMost(TIMEOUT).until(() -> version(site, 0) == version);
            await().atMost(TIMEOUT).until(() -> version(site, 1) == version);
        }
    }
}
