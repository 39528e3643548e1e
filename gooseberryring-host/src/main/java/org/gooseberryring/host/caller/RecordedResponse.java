package org.gooseberryring.host.caller;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Answer kept for an idempotency key, as one array so that it fits a claim.
 *
 * @param contentType media type of the body, empty if there is none
 * @param body whole body
 */
record RecordedResponse(String contentType, byte[] body) {
    /** Returns the type, a line break and the body. */
    byte[] encode() {
        byte[] head = (contentType + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static RecordedResponse decode(byte[] bytes) {
        int end = 0;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        String type = new String(bytes, 0, end, StandardCharsets.UTF_8);
        return new RecordedResponse(type, Arrays.copyOfRange(bytes, Math.min(bytes.length, end + 1), bytes.length));
    }
}
