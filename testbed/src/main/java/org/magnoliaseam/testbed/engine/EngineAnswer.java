package org.magnoliaseam.testbed.engine;

import java.util.SplittableRandom;

/**
 * Describes the answer to one chat request; each token is computed independently.
 *
 * @param hash the hash of the messages
 * @param tokens the number of tokens
 */
public record EngineAnswer(long hash, int tokens) {

    /** The distance between the seeds of neighbouring tokens. */
    private static final long TOKEN_SEED_STEP = 0x9E3779B97F4A7C15L;

    /** The number of syllables of a token. */
    private static final int SYLLABLES = 3;

    /** The consonants that begin a syllable. */
    private static final String CONSONANTS = "bdfgklmnprstvz";

    /** The vowels that end a syllable. */
    private static final String VOWELS = "aeiou";

    /**
     * Returns one token.
     *
     * @param index the index, counted from 0
     * @return a word followed by a space
     */
    public String token(int index) {
        SplittableRandom random = new SplittableRandom(hash + index * TOKEN_SEED_STEP);
        StringBuilder word = new StringBuilder();
        for (int i = 0; i < SYLLABLES; i++) {
            word.append(CONSONANTS.charAt(random.nextInt(CONSONANTS.length())));
            word.append(VOWELS.charAt(random.nextInt(VOWELS.length())));
        }
        return word.append(' ').toString();
    }

    /**
     * Returns the whole answer.
     *
     * @return all tokens
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
