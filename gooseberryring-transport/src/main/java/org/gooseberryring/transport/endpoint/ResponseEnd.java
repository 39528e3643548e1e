package org.gooseberryring.transport.endpoint;

/**
 * How the body of an answer ended.
 *
 * @param copiedBytes bytes of the body
 * @param declaredBytes declared length, -1 if there is none
 * @param chunked whether the body was sent in chunks, the last of which arrived
 * @param finalEvent whether the body ends with the final event of a completion stream
 * @param partialEvent whether the body ends in the middle of an event
 */
public record ResponseEnd(
        long copiedBytes, long declaredBytes, boolean chunked, boolean finalEvent, boolean partialEvent) {
    /** Returns whether the framing of the message shows that nothing is missing. */
    public boolean isFramingComplete() {
        return declaredBytes >= 0 ? copiedBytes == declaredBytes : chunked;
    }
}
