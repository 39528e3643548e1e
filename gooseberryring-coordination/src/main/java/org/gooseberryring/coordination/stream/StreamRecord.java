package org.gooseberryring.coordination.stream;

/**
 * Stream that broke off, with the software version that began it.
 *
 * @param service service whose endpoint began the stream
 * @param key key of the stream, see {@link StreamReference}
 * @param softwareVersion software version of that endpoint
 * @param remainingMillis milliseconds for which the caller may still take up the stream
 */
public record StreamRecord(String service, long key, String softwareVersion, long remainingMillis) {}
