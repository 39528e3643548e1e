package org.gooseberryring.host.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests that are open on this host, at most a fixed number. */
public final class OpenRequests {
    private final int max;
    private final AtomicInteger count = new AtomicInteger();
    private final Map<String, OpenRequest> requests = new ConcurrentHashMap<>();
    private volatile boolean draining;

    public OpenRequests(int max) {
        this.max = max;
    }

    /** Takes a place for a request; returns false if none is free or the host drains. */
    public boolean tryAcquire() {
        // The place is taken before the check, so that a drain that begins now waits for the request or it is refused.
        if (count.incrementAndGet() <= max && !draining) {
            return true;
        }
        release();
        return false;
    }

    /** Gives a place back. */
    public void release() {
        if (count.decrementAndGet() == 0) {
            synchronized (this) {
                notifyAll();
            }
        }
    }

    void put(OpenRequest request) {
        requests.put(request.spec().id(), request);
    }

    /** Returns the request, or null if it has ended. */
    public OpenRequest get(String id) {
        return requests.get(id);
    }

    void remove(String id) {
        requests.remove(id);
    }

    public int count() {
        return count.get();
    }

    public boolean isDraining() {
        return draining;
    }

    /** Refuses new requests from now on. */
    public void drain() {
        draining = true;
    }

    /**
     * Waits until no request is open.
     *
     * @return whether that was so within the time
     */
    public synchronized boolean awaitEmpty(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        long left = millis;
        while (count.get() > 0 && left > 0) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
        return count.get() == 0;
    }
}
