package org.magnoliaseam.suspect;

/**
 * Identifies requests with the same client account, class, path and body without revealing their
 * content.
 *
 * @param value a keyed hash in lower-case hexadecimal
 */
public record Fingerprint(String value) {

    @Override
    public String toString() {
        return value;
    }
}
