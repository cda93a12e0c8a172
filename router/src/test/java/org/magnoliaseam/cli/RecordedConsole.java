package org.magnoliaseam.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Records the output of a command. */
final class RecordedConsole {

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    Console console() {
        return new Console(stream(mOut), stream(mErr));
    }

    String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
