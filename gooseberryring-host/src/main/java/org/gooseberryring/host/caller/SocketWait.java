package org.gooseberryring.host.caller;

import org.xnio.XnioIoThread;

/** States for how long bytes may have waited in a socket before an I/O thread reads them. */
@FunctionalInterface
public interface SocketWait {
    /**
     * Returns the wait of bytes that a thread reads now, 0 if it looks at its sockets in time.
     *
     * @param now monotonic milliseconds
     * @return milliseconds
     */
    long millis(XnioIoThread thread, long now);
}
