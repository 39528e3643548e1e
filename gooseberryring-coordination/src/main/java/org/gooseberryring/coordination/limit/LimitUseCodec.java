package org.gooseberryring.coordination.limit;

import java.util.Map;

/** Converts the excesses of organisations, which are stored for hosts that start later. */
public interface LimitUseCodec {
    /** Encodes the excesses, in tokens by organisation. */
    byte[] encode(Map<String, Long> tokens);

    /** Decodes the excesses, in tokens by organisation; leaves out what it does not know. */
    Map<String, Long> decode(byte[] content);
}
