package org.magnoliaseam.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Configuration;

/** Finds the client account of an API key. Keys are compared as hashes, in constant time. */
final class Authenticator {

    /** The prefix of the {@code Authorization} field before the API key. */
    private static final String BEARER = "Bearer ";

    /** The longest accepted {@code Authorization} field, in characters. */
    private static final int MAX_AUTHORIZATION_LENGTH = 512;

    /** Prevents instances of this utility class. */
    private Authenticator() {}

    /**
     * Finds the account of a request.
     *
     * @param configuration the current configuration
     * @param authorization the value of the {@code Authorization} field; may be null
     * @return the account; empty if the key is missing or unknown
     */
    static Optional<ClientAccount> authenticate(Configuration configuration, String authorization) {
        if (authorization == null
                || !authorization.startsWith(BEARER)
                || authorization.length() > MAX_AUTHORIZATION_LENGTH) {
            return Optional.empty();
        }
        byte[] presented = hash(authorization.substring(BEARER.length()).strip());
        ClientAccount found = null;
        for (ClientAccount account : configuration.accounts().values()) {
            for (String accepted : account.keyHashes()) {
                if (MessageDigest.isEqual(presented, HexFormat.of().parseHex(accepted))) {
                    found = account;
                }
            }
        }
        return Optional.ofNullable(found);
    }

    /**
     * Hashes an API key.
     *
     * @param key the key
     * @return the SHA-256 hash
     */
    private static byte[] hash(String key) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
