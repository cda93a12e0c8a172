package org.magnoliaseam.settings.load;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.toml.TomlDocumentParser;

/** Reads the text of settings files. */
public final class SettingsFile {

    /** The reason for a file that cannot be read. */
    public static final String UNREADABLE = "the file cannot be read";

    /** The reason for a file that is not UTF-8. */
    public static final String NOT_UTF8 = "the file is not UTF-8 text";

    /** Prevents instances of this utility class. */
    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the text, or the reason why there is none
     */
    public static Result<String, Fault> read(Path file) {
        try {
            return Result.ok(Files.readString(file));
        } catch (CharacterCodingException e) {
            return Result.err(fault(file, 1, NOT_UTF8));
        } catch (IOException e) {
            return Result.err(fault(file, 0, UNREADABLE));
        }
    }

    /**
     * Creates a fault that concerns a whole file.
     *
     * @param file the file
     * @param line the line, or 0 if the fault belongs to no line
     * @param reason the reason
     * @return the fault
     */
    private static Fault fault(Path file, int line, String reason) {
        return new Fault(file.toString(), line, TomlDocumentParser.WHOLE_FILE, reason);
    }
}
