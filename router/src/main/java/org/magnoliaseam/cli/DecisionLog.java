package org.magnoliaseam.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.gateway.AccountText;
import org.magnoliaseam.model.RequestId;

/** Reads decision records from a file of JSON lines. */
final class DecisionLog {

    /** The field that holds the identifier of the request. */
    static final String REQUEST_ID = "requestId";

    /** The file. */
    private final Path mFile;

    /** Parses one line. */
    private final ObjectMapper mMapper = new ObjectMapper();

    /** The number of lines skipped in the last search because they are not valid JSON. */
    private int mSkippedLines;

    /**
     * Creates a reader.
     *
     * @param file the file
     */
    DecisionLog(Path file) {
        mFile = file;
    }

    /**
     * Finds the records of a request. Lines that are not valid JSON are skipped and counted.
     *
     * @param id the identifier of the request
     * @return the records in the order of the file
     * @throws IOException if the file cannot be read
     */
    List<JsonNode> find(RequestId id) throws IOException {
        List<JsonNode> found = new ArrayList<>();
        mSkippedLines = 0;
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                Files.newInputStream(mFile), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                JsonNode record = parse(line);
                if (id.value().equals(record.path(REQUEST_ID).textValue())
                        || AccountText.isAccountOf(record, id.value())) {
                    found.add(record);
                }
            }
        }
        return found;
    }

    /**
     * Returns the number of lines that the last search skipped because they are not valid JSON.
     *
     * @return the number of lines
     */
    int skippedLines() {
        return mSkippedLines;
    }

    /**
     * Parses one line.
     *
     * @param line the line
     * @return the record, or a missing node if the line is not valid JSON
     */
    private JsonNode parse(String line) {
        try {
            return mMapper.readTree(line);
        } catch (JsonProcessingException e) {
            mSkippedLines++;
            return mMapper.missingNode();
        }
    }
}
