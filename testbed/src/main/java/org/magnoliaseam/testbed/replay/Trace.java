package org.magnoliaseam.testbed.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.magnoliaseam.testbed.http.Json;

/**
 * Holds the requests of a trace in the order in which they are due.
 *
 * @param requests the requests
 */
public record Trace(List<TraceRequest> requests) {

    /**
     * Reads a trace in JSON lines.
     *
     * @param file the file
     * @return the trace
     * @throws IOException if the file cannot be read
     */
    public static Trace read(Path file) throws IOException {
        try (var lines = Files.lines(file)) {
            return new Trace(
                    lines.filter(line -> !line.isBlank())
                            .map(line -> Json.read(line, TraceRequest.class))
                            .toList());
        }
    }

    /**
     * Writes the trace in JSON lines.
     *
     * @param file the file
     * @throws IOException if the file cannot be written
     */
    public void write(Path file) throws IOException {
        Files.writeString(
                file,
                requests.stream()
                        .map(request -> Json.write(request) + "\n")
                        .collect(Collectors.joining()));
    }
}
