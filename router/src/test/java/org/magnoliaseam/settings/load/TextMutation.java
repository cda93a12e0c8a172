package org.magnoliaseam.settings.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Changes a text at one position, as a typing error or a damaged transfer would. */
record TextMutation(Kind kind, double position, double otherPosition, String payload) {

    /** Lists the kinds of change. */
    enum Kind {
        DELETE_CHARACTER,
        SWAP_CHARACTERS,
        INSERT_TEXT,
        DELETE_LINE,
        DUPLICATE_LINE,
        SWAP_LINES,
        REPLACE_VALUE,
        CUT_TAIL
    }

    String apply(String text) {
        if (text.length() < 2) {
            return payload;
        }
        int at = (int) (position * (text.length() - 2));
        switch (kind) {
            case DELETE_CHARACTER:
                return text.substring(0, at) + text.substring(at + 1);
            case SWAP_CHARACTERS:
                return text.substring(0, at)
                        + text.charAt(at + 1)
                        + text.charAt(at)
                        + text.substring(at + 2);
            case INSERT_TEXT:
                return text.substring(0, at) + payload + text.substring(at);
            case CUT_TAIL:
                return text.substring(0, at);
            default:
                return applyToLines(text);
        }
    }

    private String applyToLines(String text) {
        List<String> lines = new ArrayList<>(List.of(text.split("\n", -1)));
        int at = (int) (position * (lines.size() - 1));
        int other = (int) (otherPosition * (lines.size() - 1));
        switch (kind) {
            case DELETE_LINE:
                lines.remove(at);
                break;
            case DUPLICATE_LINE:
                lines.add(other, lines.get(at));
                break;
            case SWAP_LINES:
                Collections.swap(lines, at, other);
                break;
            default:
                lines.set(at, lines.get(at).replaceFirst("=.*", "") + "= " + payload);
                break;
        }
        return String.join("\n", lines);
    }
}
