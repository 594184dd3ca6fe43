package org.verbenatray.framing;

/** The bytes that the grammar allows in the parts of a message. */
final class MessageBytes {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private static final boolean[] TOKEN = new boolean[256];

    private static final int DELETE = 0x7f;

    static {
        for (int value = 0; value < TOKEN.length; value++) {
            TOKEN[value] = isDigit(value) || isLetter(value) || value > 0 && TOKEN_SYMBOLS.indexOf(value) >= 0;
        }
    }

    private MessageBytes() {}

    /** Returns whether a byte may be a part of a token, such as the name of a field. */
    static boolean isToken(int value) {
        return TOKEN[value & 0xff];
    }

    /** Returns whether a byte may be a part of the value of a field or of a reason phrase. */
    static boolean isText(int value) {
        int unsigned = value & 0xff;
        return unsigned >= ' ' && unsigned != DELETE || isBlank(unsigned);
    }

    /** Returns whether a byte is a visible character of ASCII, such as those of a request's target. */
    static boolean isVisible(int value) {
        return value > ' ' && value < DELETE;
    }

    /** Returns whether a byte is a space or a tab. */
    static boolean isBlank(int value) {
        return value == ' ' || value == '\t';
    }

    /** Returns whether a byte is a decimal digit. */
    static boolean isDigit(int value) {
        return value >= '0' && value <= '9';
    }

    private static boolean isLetter(int value) {
        return value >= 'a' && value <= 'z' || value >= 'A' && value <= 'Z';
    }
}
