package org.gooseberryring.transport.http;

/** Characters that names and values of headers may have, in requests and responses. */
public final class HeaderGrammar {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;

    /** Largest character of a header value; a character is written as its low byte. */
    private static final char MAX_VALUE_CHARACTER = 0xff;

    private HeaderGrammar() {}

    /** Returns whether a text is a method or the name of a header. */
    public static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isTokenCharacter(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Returns whether a text can be the value of a header: it ends no line and has no control character but a tab. */
    public static boolean isValue(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isValueCharacter(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isValueCharacter(char c) {
        return c == '\t' || c >= ' ' && c != DELETE && c <= MAX_VALUE_CHARACTER;
    }

    private static boolean isTokenCharacter(char c) {
        boolean alphanumeric = c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z';
        return alphanumeric || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }
}
