package org.gooseberryring.transport.endpoint;

/**
 * End of the body of a response.
 *
 * @param copiedBytes number of bytes received of the body
 * @param declaredBytes declared length in bytes, -1 if there is none
 * @param chunked whether the body was sent in chunks, the last of which was received
 * @param finalEvent whether the body ends with the final event of a completion stream
 * @param partialEvent whether the body ends in the middle of an event
 */
public record ResponseEnd(
        long copiedBytes, long declaredBytes, boolean chunked, boolean finalEvent, boolean partialEvent) {
    /** Returns whether the framing of the message proves that the body is complete. */
    public boolean isFramingComplete() {
        return declaredBytes >= 0 ? copiedBytes == declaredBytes : chunked;
    }
}
