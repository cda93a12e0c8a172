package org.magnoliaseam.suspect;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;

/** Computes fingerprints that are the same on all entry VMs of a site. Thread-safe. */
public final class Fingerprinter {

    /** The name of the MAC algorithm. */
    private static final String MAC_ALGORITHM = "HmacSHA256";

    /** The length of a fingerprint in bytes. */
    private static final int FINGERPRINT_BYTES = 16;

    /** The prefix that separates these hashes from other uses of the same secret. */
    private static final String DOMAIN_PREFIX = "magnoliaseam/fingerprint/1\n";

    /** The key of the hash. */
    private final SecretKeySpec mKey;

    /**
     * Creates a fingerprinter.
     *
     * @param secret the secret that the entry VMs of a site share
     */
    public Fingerprinter(byte[] secret) {
        mKey = new SecretKeySpec(secret, MAC_ALGORITHM);
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param account the client account
     * @param requestClass the request class
     * @param path the path with the query string
     * @param body the body
     * @return the fingerprint
     */
    public Fingerprint of(
            ClientAccountId account, RequestClassId requestClass, String path, byte[] body) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(mKey);
            String head = DOMAIN_PREFIX + account + "\n" + requestClass + "\n" + path + "\n";
            mac.update(head.getBytes(StandardCharsets.UTF_8));
            byte[] hash = mac.doFinal(body);
            return new Fingerprint(HexFormat.of().formatHex(hash, 0, FINGERPRINT_BYTES));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA256 is not available", e);
        }
    }
}
