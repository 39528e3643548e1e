package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.transport.http.HttpWorker;
import org.gooseberryring.transport.http.IoThreadProbe;
import org.jboss.logging.Logger;
import org.xnio.XnioIoThread;

/** Delays of the I/O threads of a host: logs long ones, and tells for how long bytes may have waited in a socket. */
final class IoThreadDelays implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(IoThreadDelays.class);

    private final LongSupplier clock;
    private final Map<XnioIoThread, IoThreadProbe> probes;

    private IoThreadDelays(LongSupplier clock, Map<XnioIoThread, IoThreadProbe> probes) {
        this.clock = clock;
        this.probes = probes;
    }

    /**
     * Starts to observe the I/O threads of a worker.
     *
     * @param clock monotonic milliseconds
     */
    static IoThreadDelays start(HttpWorker worker, LongSupplier clock) {
        Map<XnioIoThread, IoThreadProbe> probes = new HashMap<>();
        for (XnioIoThread thread : worker.ioThreads()) {
            LateThreadLog log = new LateThreadLog(IoThreadDelays::log);
            probes.put(
                    thread,
                    IoThreadProbe.start(
                            thread, clock, (delayMillis, now) -> log.onDelay(thread.getName(), delayMillis, now)));
        }
        return new IoThreadDelays(clock, Map.copyOf(probes));
    }

    /** Returns for how many milliseconds bytes that a thread reads now may have waited, 0 if it is in time. */
    long waitMillis(XnioIoThread thread, long now) {
        IoThreadProbe probe = probes.get(thread);
        return probe == null ? 0 : probe.waitMillis(now);
    }

    /** Returns the longest delay of the threads at present, in milliseconds. */
    long delayMillis() {
        long now = clock.getAsLong();
        return probes.values().stream()
                .mapToLong(probe -> probe.waitMillis(now))
                .max()
                .orElse(0);
    }

    @Override
    public void close() {
        probes.values().forEach(IoThreadProbe::close);
    }

    private static void log(String thread, long delayMillis) {
        LogLine.event("io-thread-late")
                .with("thread", thread)
                .with("ms", delayMillis)
                .info(LOG);
    }
}
