package org.gooseberryring.coordination.limit;

import java.util.Map;

/** Converts the use of organisations that is stored for hosts that start later. */
public interface LimitUseCodec {
    /** Encodes tokens by organisation. */
    byte[] encode(Map<String, Long> tokens);

    /** Decodes tokens by organisation. */
    Map<String, Long> decode(byte[] content);
}
