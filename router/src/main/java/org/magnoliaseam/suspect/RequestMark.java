package org.magnoliaseam.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Identifies something that a request has in common with others and that may crash backend servers:
 * a part of its prompt, or the whole request if it is sent again. A mark is a hash, the same on all
 * entry VMs, that holds no content.
 *
 * @param value the hash; its lowest bit tells marks of whole requests from those of prompt parts
 */
public record RequestMark(long value) {

    /** The name of the hash algorithm. */
    private static final String HASH_ALGORITHM = "SHA-256";

    /** The bit that is set in marks of whole requests. */
    private static final long WHOLE_BIT = 1;

    /** The largest number of bytes of a body that are hashed at its begin and at its end. */
    private static final int MAX_HASHED_BYTES = 4096;

    /** Separates the fields of a request in the input of the hash. */
    private static final String SEPARATOR = "\n";

    /**
     * Returns the mark of a prompt part.
     *
     * @param service the service that runs the request
     * @param part the id of the part
     * @return the mark
     */
    public static RequestMark ofPart(String service, String part) {
        MessageDigest digest = digest();
        digest.update((service + SEPARATOR).getBytes(StandardCharsets.UTF_8));
        return new RequestMark(hash(digest, part.getBytes(StandardCharsets.UTF_8)) & ~WHOLE_BIT);
    }

    /**
     * Returns the mark of a whole request. Of a long body only the begin and the end are hashed.
     *
     * @param account the client account; empty if there is none
     * @param target the method and path
     * @param body the body
     * @return the mark
     */
    public static RequestMark ofRequest(String account, String target, byte[] body) {
        MessageDigest digest = digest();
        String head = account + SEPARATOR + target + SEPARATOR + body.length + SEPARATOR;
        digest.update(head.getBytes(StandardCharsets.UTF_8));
        int hashed = Math.min(body.length, MAX_HASHED_BYTES);
        digest.update(body, 0, hashed);
        byte[] end = Arrays.copyOfRange(body, body.length - hashed, body.length);
        return new RequestMark(hash(digest, end) | WHOLE_BIT);
    }

    /**
     * Tells whether this is the mark of a whole request.
     *
     * @return false for a prompt part
     */
    public boolean isWholeRequest() {
        return (value & WHOLE_BIT) != 0;
    }

    /**
     * Creates a hash function.
     *
     * @return the hash function
     */
    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(HASH_ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(HASH_ALGORITHM + " is not available", e);
        }
    }

    /**
     * Returns the first bytes of a hash.
     *
     * @param digest the hash function
     * @param last the last part of its input
     * @return the bytes as a number
     */
    private static long hash(MessageDigest digest, byte[] last) {
        return ByteBuffer.wrap(digest.digest(last)).getLong();
    }
}
