package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Buffers the last bytes of a response, which contain the token usage. */
final class ResponseTail {
    private static final int TAIL_BYTES = 2048;
    private static final Pattern USAGE = Pattern.compile("\"total_tokens\"\\s*:\\s*(\\d{1,15})");

    private final byte[] ring = new byte[TAIL_BYTES];
    private long totalBytes;

    /** Adds the remaining bytes of a buffer without changing its position. */
    void add(ByteBuffer bytes) {
        ByteBuffer view = bytes.duplicate();
        int skipped = Math.max(0, view.remaining() - TAIL_BYTES);
        view.position(view.position() + skipped);
        totalBytes += skipped;
        while (view.hasRemaining()) {
            int offset = (int) (totalBytes % TAIL_BYTES);
            int length = Math.min(view.remaining(), TAIL_BYTES - offset);
            view.get(ring, offset, length);
            totalBytes += length;
        }
    }

    /** Returns the number of tokens that the endpoint reported last, 0 if it reported none. */
    long usedTokens() {
        Matcher matcher = USAGE.matcher(text());
        long tokens = 0;
        while (matcher.find()) {
            tokens = Long.parseLong(matcher.group(1));
        }
        return tokens;
    }

    private String text() {
        int length = (int) Math.min(totalBytes, TAIL_BYTES);
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = ring[(int) ((totalBytes - length + i) % TAIL_BYTES)];
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
