package org.magnoliaseam.testbed.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.harness.SiteSpec;

/** Generates traces with random arrivals; equal seeds give equal traces. */
public final class TraceGenerator {

    /** The fraction of the trace at which the burst begins. */
    private static final double BURST_BEGIN = 0.3;

    /** The fraction of the trace at which the burst ends. */
    private static final double BURST_END = 0.65;

    /** The number of words that the prompts of a group begin with. */
    private static final int PROMPT_TOKENS = 64;

    /** The shape. */
    private final TraceShape mShape;

    /** The length of the trace in milliseconds. */
    private final long mMillis;

    /** The number of entry VMs. */
    private final int mEntries;

    /** The factor on all rates. */
    private final double mLoad;

    /** The source of randomness. */
    private final Random mRandom;

    /**
     * Creates a generator.
     *
     * @param shape the shape
     * @param seconds the length of the trace in seconds
     * @param entries the number of entry VMs
     * @param load the factor on all rates
     * @param seed the seed
     */
    public TraceGenerator(TraceShape shape, int seconds, int entries, double load, long seed) {
        mShape = shape;
        mMillis = TimeUnit.SECONDS.toMillis(seconds);
        mEntries = entries;
        mLoad = load;
        mRandom = new Random(seed);
    }

    /**
     * Returns the middle of the burst.
     *
     * @param millis the length of a trace in milliseconds
     * @return the milliseconds since the start of the trace
     */
    public static long burstMiddleMillis(long millis) {
        return Math.round(millis * (BURST_BEGIN + BURST_END) / 2);
    }

    /**
     * Generates the trace.
     *
     * @return the trace
     */
    public Trace generate() {
        List<TraceRequest> requests = new ArrayList<>();
        mShape.streams().forEach(stream -> generate(stream, requests));
        requests.sort(Comparator.comparingLong(TraceRequest::atMillis));
        return new Trace(requests);
    }

    /**
     * Generates the requests of one stream.
     *
     * @param stream the stream
     * @param requests gets the requests
     */
    private void generate(TraceShape.Stream stream, List<TraceRequest> requests) {
        double atMillis = 0;
        while (true) {
            boolean burst = atMillis >= BURST_BEGIN * mMillis && atMillis < BURST_END * mMillis;
            double rate = mLoad * (burst ? stream.perSecondInBurst() : stream.perSecond());
            atMillis += -Math.log(1 - mRandom.nextDouble()) * TimeUnit.SECONDS.toMillis(1) / rate;
            if (atMillis >= mMillis) {
                return;
            }
            requests.add(request(stream, Math.round(atMillis)));
        }
    }

    /**
     * Generates one request.
     *
     * @param stream the stream
     * @param atMillis the time in milliseconds at which the request is due
     * @return the request
     */
    private TraceRequest request(TraceShape.Stream stream, long atMillis) {
        return new TraceRequest(
                atMillis,
                SiteSpec.KEYS.get(mRandom.nextInt(SiteSpec.KEYS.size())),
                stream.requestClass(),
                stream.kind(),
                mRandom.nextInt(stream.promptGroups()),
                stream.kind() == TraceRequestKind.CHAT ? PROMPT_TOKENS : 0,
                0,
                mRandom.nextInt(mEntries));
    }
}
