package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliaseam.gateway.Prompt;
import org.magnoliaseam.gateway.PromptPart;

/** Reads the description of a prompt from the header fields of a request. */
final class PromptHeaders {

    /** Prevents instances of this utility class. */
    private PromptHeaders() {}

    /**
     * Reads the description of the prompt. Malformed parts are ignored, since the description only
     * guides the choice of a backend server.
     *
     * @param headers the header fields
     * @return the description; {@link Prompt#NONE} if the request has none
     */
    static Prompt read(HttpFields headers) {
        String counts = headers.get(WireNames.TOKENS);
        if (counts == null) {
            return Prompt.NONE;
        }
        String[] numbers = counts.split(",", -1);
        int tokens = number(numbers[0]);
        int output = numbers.length > 1 ? number(numbers[1]) : 0;
        return new Prompt(parts(headers.get(WireNames.PROMPT)), tokens, output);
    }

    /**
     * Reads the parts of the prompt.
     *
     * @param text the parts as ID:TOKENS, separated by commas; null if there are none
     * @return the parts in order
     */
    private static List<PromptPart> parts(String text) {
        List<PromptPart> parts = new ArrayList<>();
        if (text == null) {
            return parts;
        }
        for (String part : text.split(",")) {
            int colon = part.lastIndexOf(':');
            if (colon > 0) {
                String id = part.substring(0, colon).strip();
                parts.add(new PromptPart(id, number(part.substring(colon + 1))));
            }
        }
        return List.copyOf(parts);
    }

    /**
     * Parses a number.
     *
     * @param text the text
     * @return the number; 0 if it is negative or malformed
     */
    private static int number(String text) {
        try {
            return Math.max(0, Integer.parseInt(text.strip()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
