package org.magnoliaseam.settings.load;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.magnoliaseam.settings.check.ConfigurationDraft;
import org.magnoliaseam.settings.check.Located;

/**
 * Computes the digest of a merged configuration. It does not depend on the order of entries or the
 * notation of values in the files.
 */
final class ConfigurationDigest {

    /** The hash function. */
    private static final String ALGORITHM = "SHA-256";

    /** Prevents instances of this utility class. */
    private ConfigurationDigest() {}

    /**
     * Computes the digest.
     *
     * @param draft the merged configuration, with sorted maps and sets
     * @return the digest in lower-case hexadecimal
     */
    static String of(ConfigurationDraft draft) {
        StringBuilder text = new StringBuilder();
        draft.classes().values().forEach(entry -> append(text, entry));
        draft.backendServers().values().forEach(entry -> append(text, entry));
        draft.accounts().values().forEach(entry -> append(text, entry));
        append(text, draft.outOfService());
        append(text, draft.tuning());
        try {
            byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance(ALGORITHM).digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from the runtime", e);
        }
    }

    /**
     * Appends a record as one canonical line. The text form of a record has all its components in a
     * fixed order.
     *
     * @param text the text so far
     * @param entry the record
     */
    private static void append(StringBuilder text, Located<?> entry) {
        text.append(entry.path()).append('=').append(entry.value()).append('\n');
    }
}
