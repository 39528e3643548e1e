package org.gooseberryring.host.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks the open requests of this host and limits their number. */
public final class OpenRequests {
    private final int maxOpen;
    private final AtomicInteger count = new AtomicInteger();
    private final Map<String, OpenRequest> requests = new ConcurrentHashMap<>();
    private volatile boolean draining;

    public OpenRequests(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    /** Acquires a slot for a request; returns false if none is free or the host is draining. */
    public boolean tryAcquire() {
        // Counts the request before the check, so that a drain that starts meanwhile waits for it or causes its
        // refusal.
        if (count.incrementAndGet() <= maxOpen && !draining) {
            return true;
        }
        release();
        return false;
    }

    /** Returns the maximum number of open requests. */
    public int maxOpen() {
        return maxOpen;
    }

    /** Releases the slot of a request. */
    public void release() {
        if (count.decrementAndGet() == 0) {
            synchronized (this) {
                notifyAll();
            }
        }
    }

    /** Adds a request; returns false if another one has its identifier. */
    boolean tryPut(OpenRequest request) {
        return requests.putIfAbsent(request.spec().id(), request) == null;
    }

    /** Returns the request, or null if it has ended at its caller and at its endpoint. */
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

    /** Starts draining; new requests are refused. */
    public void drain() {
        draining = true;
    }

    /**
     * Waits until no request is open.
     *
     * @return whether all requests ended within the time
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
