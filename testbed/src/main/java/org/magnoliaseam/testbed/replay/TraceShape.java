package org.magnoliaseam.testbed.replay;

import java.util.List;
import java.util.Locale;
import org.magnoliaseam.testbed.harness.ClassSpec;

/**
 * Lists the shapes of generated traces. In the bursts the chat requests of all classes exceed the
 * capacity of four default engines, while three can serve those of the highest class.
 */
public enum TraceShape {
    /** The start of a course: many learners send questions at once and reserve seats. */
    COURSE_STARTS(
            List.of(
                    new Stream(ClassSpec.QUESTION.name(), TraceRequestKind.CHAT, 2, 10, 3),
                    new Stream(ClassSpec.TOOL_QUESTION.name(), TraceRequestKind.CHAT, 2, 8, 6),
                    new Stream(ClassSpec.REVIEW.name(), TraceRequestKind.CHAT, 4, 10, 12),
                    new Stream(ClassSpec.LOOKUP.name(), TraceRequestKind.LOOKUP, 2, 12, 1),
                    new Stream(ClassSpec.RELEASE.name(), TraceRequestKind.ORDER, 1, 4, 1))),
    /**
     * The arrival of a ship: inspectors send questions, lots are reconciled and bales are released.
     */
    SHIP_DOCKS(
            List.of(
                    new Stream(ClassSpec.QUESTION.name(), TraceRequestKind.CHAT, 1, 8, 8),
                    new Stream(ClassSpec.TOOL_QUESTION.name(), TraceRequestKind.CHAT, 1, 6, 8),
                    new Stream(ClassSpec.REVIEW.name(), TraceRequestKind.CHAT, 5, 14, 20),
                    new Stream(ClassSpec.LOOKUP.name(), TraceRequestKind.LOOKUP, 1, 8, 1),
                    new Stream(ClassSpec.RELEASE.name(), TraceRequestKind.ORDER, 1, 8, 1)));

    /** The streams of requests. */
    private final List<Stream> mStreams;

    /**
     * Creates a shape.
     *
     * @param streams the streams of requests
     */
    TraceShape(List<Stream> streams) {
        mStreams = streams;
    }

    /**
     * Parses a name.
     *
     * @param name the name in lower case with dashes
     * @return the shape
     * @throws IllegalArgumentException if the name is unknown
     */
    public static TraceShape of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /**
     * Returns the streams of requests.
     *
     * @return the streams
     */
    public List<Stream> streams() {
        return mStreams;
    }

    /**
     * Describes the requests of one class.
     *
     * @param requestClass the class
     * @param kind the kind
     * @param perSecond the requests per second outside the burst
     * @param perSecondInBurst the requests per second within the burst
     * @param promptGroups the number of groups that share the beginning of their prompts
     */
    public record Stream(
            String requestClass,
            TraceRequestKind kind,
            double perSecond,
            double perSecondInBurst,
            int promptGroups) {}
}
