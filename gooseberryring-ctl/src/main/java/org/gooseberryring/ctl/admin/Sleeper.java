package org.gooseberryring.ctl.admin;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits between attempts. */
@FunctionalInterface
public interface Sleeper {
    /** Waits for a number of milliseconds. */
    void sleep(long millis);

    /** Returns a sleeper that blocks the calling thread; an interrupt ends the wait and stays set. */
    static Sleeper blocking() {
        return millis -> {
            try {
                new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
