package org.magnoliaseam.testbed.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliaseam.testbed.proof.RawSite;
import org.magnoliaseam.testbed.raw.RawMessage;
import org.magnoliaseam.testbed.raw.RawReader;
import org.magnoliaseam.testbed.raw.RawServer;

/**
 * Sends legal requests that are drawn from a seed through the real program, to servers whose
 * answers are drawn too, and compares what was sent with what ran and was answered. {@code
 * -Dtraffic.first} and {@code -Dtraffic.count} choose other seeds.
 */
class GeneratedTrafficIT {

    private static final int CALLERS = 8;

    private static final int REQUESTS = 60;

    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private final ExecutorService mThreads = Executors.newFixedThreadPool(CALLERS);

    private final Map<String, GeneratedRequest> mSent = new ConcurrentHashMap<>();

    private final List<String> mFaults = new CopyOnWriteArrayList<>();

    private final AtomicInteger mWhole = new AtomicInteger();

    @TempDir private Path mFolder;

    static LongStream seeds() {
        long first = Long.getLong("traffic.first", 1);
        return LongStream.range(first, first + Long.getLong("traffic.count", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void whatRunsAndReturnsIsWhatWasSent(long seed) throws Exception {
        GeneratedAnswers answers = new GeneratedAnswers(seed);
        Path folder = Files.createDirectories(mFolder.resolve("seed-" + seed));
        try (RawServer first = new RawServer();
                RawServer second = new RawServer();
                RawSite site =
                        new RawSite(folder, "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1")) {
            first.answers(answers::write);
            second.answers(answers::write);
            site.server("i-1", "sound", first);
            site.server("i-2", "sound", second);
            site.configure(
                    RawSite.route("sound", "/safe/", "safe", 3000, 2),
                    RawSite.route("sound", "/once/", "unsafe", 3000, 2));
            site.start();
            List<Future<?>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                callers.add(mThreads.submit(() -> call(site, answers, seed, caller)));
            }
            for (Future<?> caller : callers) {
                caller.get();
            }
            first.requests().forEach(this::judge);
            second.requests().forEach(this::judge);
            judgeRuns(answers);
            assertThat(site.router().alive()).isTrue();
        } finally {
            mThreads.shutdownNow();
        }
        System.out.printf("GeneratedTrafficIT: seed %d, whole %d%n", seed, mWhole.get());
        assertThat(mFaults).as("seed %d", seed).isEmpty();
        assertThat(mWhole.get()).isPositive();
    }

    private void call(RawSite site, GeneratedAnswers answers, long seed, int caller) {
        Random random = new Random(seed * 1000 + caller);
        int number = caller * REQUESTS;
        int end = number + REQUESTS;
        while (number < end) {
            try (Socket socket = site.connect()) {
                RawReader reader = new RawReader(new BufferedInputStream(socket.getInputStream()));
                boolean open = true;
                while (open && number < end) {
                    open = exchange(socket, reader, answers, random, number++);
                }
            } catch (IOException e) {
                mFaults.add("request " + (number - 1) + ": " + e);
            }
        }
    }

    /** Sends one request and tells whether its connection may be used again. */
    private boolean exchange(
            Socket socket, RawReader reader, GeneratedAnswers answers, Random random, int number)
            throws IOException {
        String prefix = random.nextBoolean() ? "/safe/" : "/once/";
        GeneratedRequest request = GeneratedRequest.draw(random, prefix, number);
        mSent.put(request.id(), request);
        byte[] bytes = request.bytes(random);
        int cut = random.nextInt(bytes.length);
        RawServer.write(socket, Arrays.copyOfRange(bytes, 0, cut));
        RawServer.write(socket, Arrays.copyOfRange(bytes, cut, bytes.length));
        Optional<RawMessage> answer = reader.answer(false);
        if (answer.isEmpty()) {
            mFaults.add(request.id() + ": closed without an answer");
            return false;
        }
        judge(request, answer.get(), answers);
        return answer.get().complete()
                && answer.get().values("Connection").stream().noneMatch("close"::equals);
    }

    /** Judges the answer that a caller got. */
    private void judge(GeneratedRequest request, RawMessage answer, GeneratedAnswers answers) {
        String id = request.id();
        if (!answer.value("X-Request-Id").equals(Optional.of(id))) {
            mFaults.add(id + ": answer of " + answer.value("X-Request-Id"));
        }
        boolean signed = answer.value("X-Response-Signature").isPresent();
        boolean whole = answers.whole(id).stream().anyMatch(made -> made.matches(answer));
        if (signed && !whole) {
            mFaults.add(id + ": signed answer that no server made: " + answer.startLine());
        } else if (!signed && answer.status() < 500) {
            mFaults.add(id + ": unsigned " + answer.startLine());
        }
        if (!signed && NOT_RUN.contains(answer.status()) && !request.repeatable()) {
            if (answers.runs(id) > 0) {
                mFaults.add(id + ": refused as not run, but it ran");
            }
        }
        if (whole) {
            mWhole.incrementAndGet();
        }
    }

    /** Judges a request that arrived at a server. */
    private void judge(RawMessage arrived) {
        String id = arrived.value("X-Request-Id").orElse("");
        GeneratedRequest sent = mSent.get(id);
        if (sent == null) {
            mFaults.add("a request arrived that nobody sent: " + id);
            return;
        }
        String line = sent.method() + " " + sent.target() + " HTTP/1.1";
        if (!arrived.startLine().equals(line)) {
            mFaults.add(id + ": arrived as " + arrived.startLine() + ", sent as " + line);
        }
        if (!Arrays.equals(arrived.body(), sent.body())) {
            mFaults.add(id + ": the body changed");
        }
        List<String> own =
                arrived.fields().stream().filter(field -> field.startsWith("X-Own-")).toList();
        if (!own.equals(sent.fields())) {
            mFaults.add(id + ": the fields changed");
        }
    }

    /** Judges how often requests ran. */
    private void judgeRuns(GeneratedAnswers answers) {
        Collection<String> unknown = new HashSet<>(answers.ran());
        unknown.removeAll(mSent.keySet());
        unknown.forEach(id -> mFaults.add("a request ran that nobody sent: " + id));
        for (GeneratedRequest request : mSent.values()) {
            if (!request.repeatable() && answers.runs(request.id()) > 1) {
                mFaults.add(request.id() + ": ran " + answers.runs(request.id()) + " times");
            }
        }
    }
}
