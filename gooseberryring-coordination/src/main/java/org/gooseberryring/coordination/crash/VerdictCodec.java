package org.gooseberryring.coordination.crash;

import java.util.List;

/** Converts verdicts to the content of a store object and back. */
public interface VerdictCodec {
    /** Encodes verdicts. */
    byte[] encode(List<PartVerdict> verdicts);

    /** Decodes verdicts; unreadable ones are left out. */
    List<PartVerdict> decode(byte[] content);
}
