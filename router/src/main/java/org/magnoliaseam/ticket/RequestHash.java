package org.magnoliaseam.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies the content of a request, so that a ticket cannot be used for two different requests.
 *
 * @param value the SHA-256 hash in lower-case hexadecimal
 */
public record RequestHash(String value) {

    /**
     * Computes the hash of a request.
     *
     * @param method the HTTP method
     * @param path the path with the query string
     * @param body the body
     * @return the hash
     */
    public static RequestHash of(String method, String path, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + "\n" + path + "\n").getBytes(StandardCharsets.UTF_8));
            return new RequestHash(HexFormat.of().formatHex(digest.digest(body)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
