package org.magnoliaseam.settings.toml;

import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Fault;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlVersion;

/** Parses TOML text into a tree of nodes that record their file and line. */
public final class TomlDocumentParser {

    /** The key of faults that concern the file as a whole. */
    public static final String WHOLE_FILE = "toml";

    /** The largest accepted text, in characters. */
    private static final int MAX_TEXT_CHARS = 1024 * 1024;

    /** The reason for a text over the limit. */
    private static final String TOO_LARGE = "the file is larger than 1 MiB";

    /** The reason for a text whose nesting overflows the stack of the parser. */
    private static final String TOO_DEEP = "arrays or tables are nested too deeply";

    /** The name of the file for faults. */
    private final String mFile;

    /**
     * Creates a parser for one file.
     *
     * @param file the name of the file for faults
     */
    public TomlDocumentParser(String file) {
        mFile = file;
    }

    /**
     * Parses a text.
     *
     * @param text the TOML text
     * @return the root table, or every syntax error
     */
    public Result<TomlNode.Section, List<Fault>> parse(String text) {
        if (text.length() > MAX_TEXT_CHARS) {
            return Result.err(List.of(new Fault(mFile, 1, WHOLE_FILE, TOO_LARGE)));
        }
        try {
            TomlParseResult parsed = Toml.parse(text, TomlVersion.V1_0_0);
            if (parsed.hasErrors()) {
                return Result.err(parsed.errors().stream().map(this::syntaxFault).toList());
            }
            return Result.ok(new TreeBuilder(mFile, text).section(parsed));
        } catch (StackOverflowError e) {
            return Result.err(List.of(new Fault(mFile, 1, WHOLE_FILE, TOO_DEEP)));
        }
    }

    /**
     * Converts a syntax error.
     *
     * @param error the error
     * @return the fault
     */
    private Fault syntaxFault(TomlParseError error) {
        int line = Math.max(1, error.position().line());
        String reason = error.getMessage().replaceAll("\\s+", " ");
        return new Fault(mFile, line, WHOLE_FILE, reason);
    }
}
