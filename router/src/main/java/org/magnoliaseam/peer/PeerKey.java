package org.magnoliaseam.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes authentication codes with a key that is derived from the shared secret of the site. */
final class PeerKey {

    /** The length of a code in bytes. */
    static final int CODE_BYTES = 32;

    /** The algorithm of the codes. */
    private static final String ALGORITHM = "HmacSHA256";

    /** The label that separates this use of the secret from others. */
    private static final String LABEL = "magnoliaseam peer 1";

    /** The key. */
    private final SecretKeySpec mKey;

    /**
     * Creates a key.
     *
     * @param key the bytes of the key
     */
    private PeerKey(byte[] key) {
        mKey = new SecretKeySpec(key, ALGORITHM);
    }

    /**
     * Derives the key of the peer protocol from the shared secret of the site.
     *
     * @param secret the secret, not empty
     * @return the key
     */
    static PeerKey derive(byte[] secret) {
        return new PeerKey(new PeerKey(secret).code(LABEL, new byte[0]));
    }

    /**
     * Derives a key for one connection and direction.
     *
     * @param label names the direction
     * @param transcript identifies the connection
     * @return the key
     */
    PeerKey derive(String label, byte[] transcript) {
        return new PeerKey(code(label, transcript));
    }

    /**
     * Computes the code of a labelled message.
     *
     * @param label names the purpose; must not contain a zero character
     * @param message the message
     * @return the code
     */
    byte[] code(String label, byte[] message) {
        Mac mac = newMac();
        mac.update(label.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        return mac.doFinal(message);
    }

    /**
     * Checks the code of a labelled message in constant time.
     *
     * @param label names the purpose
     * @param message the message
     * @param code the code to check
     * @return whether the code is right
     */
    boolean verifies(String label, byte[] message, byte[] code) {
        return MessageDigest.isEqual(code(label, message), code);
    }

    /**
     * Creates a MAC instance with this key.
     *
     * @return the initialized instance
     */
    Mac newMac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
