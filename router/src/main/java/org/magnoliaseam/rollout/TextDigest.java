package org.magnoliaseam.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.magnoliaseam.settings.ConfigurationText;

/**
 * Identifies the source text of a configuration.
 *
 * @param version the version of the text
 * @param value the SHA-256 digest in lower-case hexadecimal
 */
record TextDigest(long version, String value) {

    /**
     * Computes the digest of a source text.
     *
     * @param text the source text
     * @return the digest
     */
    static TextDigest of(ConfigurationText text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] base = text.base().getBytes(StandardCharsets.UTF_8);
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, base.length));
            digest.update(base);
            byte[] value = digest.digest(text.overlay().getBytes(StandardCharsets.UTF_8));
            return new TextDigest(text.version(), HexFormat.of().formatHex(value));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
