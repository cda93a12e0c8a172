package org.magnoliaseam.testbed.traffic;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliaseam.testbed.raw.RawMessage;
import org.magnoliaseam.testbed.raw.RawServer;

/** Answers requests as drawn from a seed, and records what was run and answered. Thread-safe. */
final class GeneratedAnswers {

    private static final List<Integer> STATUSES = List.of(200, 200, 200, 201, 204, 404, 409, 500);

    private final long mSeed;

    private final AtomicInteger mCount = new AtomicInteger();

    private final Map<String, List<Whole>> mWhole = new ConcurrentHashMap<>();

    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();

    /** A whole answer. */
    record Whole(int status, byte[] body) {

        boolean matches(RawMessage answer) {
            return answer.status() == status
                    && answer.complete()
                    && Arrays.equals(answer.body(), body);
        }
    }

    /** Lists the ways to answer. */
    private enum Way {
        LENGTH,
        CHUNKS,
        NO_LENGTH,
        INTERIM,
        TWICE,
        CUT,
        REFUSED
    }

    GeneratedAnswers(long seed) {
        mSeed = seed;
    }

    /** Returns how often a request has run. */
    int runs(String id) {
        AtomicInteger runs = mRuns.get(id);
        return runs == null ? 0 : runs.get();
    }

    /** Returns the ids of the requests that ran. */
    Collection<String> ran() {
        return mRuns.keySet();
    }

    /** Returns the whole answers to a request. */
    List<Whole> whole(String id) {
        return mWhole.getOrDefault(id, List.of());
    }

    /** Answers a request. */
    void write(RawMessage request, Socket socket) throws IOException {
        Random random = new Random(mSeed * 31 + mCount.incrementAndGet());
        String id = request.value("X-Request-Id").orElse("");
        Way way = Way.values()[random.nextInt(Way.values().length)];
        String start = "X-Request-Id: " + id + "\r\n";
        if (way == Way.REFUSED) {
            String refusal = "HTTP/1.1 503 Full\r\n" + start + "X-Not-Executed: 1\r\n";
            RawServer.write(socket, latin(refusal + "Content-Length: 0\r\n\r\n"));
            return;
        }
        mRuns.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        int status = STATUSES.get(random.nextInt(STATUSES.size()));
        byte[] body = new byte[status == 204 ? 0 : random.nextInt(3) * random.nextInt(5000)];
        random.nextBytes(body);
        String head = "HTTP/1.1 " + status + " S\r\n" + start + "X-Response-Signature: s\r\n";
        byte[] answer = framed(way, status, head, body, random);
        int length = way == Way.CUT ? random.nextInt(answer.length) : answer.length;
        if (way != Way.CUT) {
            mWhole.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>())
                    .add(new Whole(status, body));
        }
        RawServer.write(socket, Arrays.copyOf(answer, length));
        if (way == Way.CUT || way == Way.NO_LENGTH && status != 204) {
            socket.close();
        }
    }

    private static byte[] framed(Way way, int status, String head, byte[] body, Random random) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (way == Way.INTERIM) {
            out.writeBytes(latin("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"));
        }
        if (status == 204) {
            out.writeBytes(latin(head + "\r\n"));
        } else if (way == Way.NO_LENGTH) {
            out.writeBytes(latin(head + "\r\n"));
            out.writeBytes(body);
        } else if (way == Way.CHUNKS) {
            out.writeBytes(latin(head + "Transfer-Encoding: chunked\r\n\r\n"));
            int at = 0;
            while (at < body.length) {
                int size = Math.min(body.length - at, 1 + random.nextInt(3000));
                out.writeBytes(latin(Integer.toHexString(size) + "\r\n"));
                out.write(body, at, size);
                out.writeBytes(latin("\r\n"));
                at += size;
            }
            out.writeBytes(latin("0\r\n\r\n"));
        } else {
            out.writeBytes(latin(head + "Content-Length: " + body.length + "\r\n\r\n"));
            out.writeBytes(body);
        }
        if (way == Way.TWICE) {
            out.writeBytes(out.toByteArray());
        }
        return out.toByteArray();
    }

    private static byte[] latin(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
