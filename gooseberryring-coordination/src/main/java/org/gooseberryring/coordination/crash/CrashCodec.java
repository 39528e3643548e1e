package org.gooseberryring.coordination.crash;

import java.util.List;

/** Converts crashes to the content of a store object and back; the object has their ages, since clocks differ. */
public interface CrashCodec {
    /** Encodes crashes. */
    byte[] encode(List<StoredCrash> crashes, long now);

    /** Decodes crashes; unreadable ones are left out. */
    List<StoredCrash> decode(byte[] content, long now);
}
