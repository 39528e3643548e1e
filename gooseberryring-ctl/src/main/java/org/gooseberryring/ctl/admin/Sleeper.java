package org.gooseberryring.ctl.admin;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits between attempts. */
@FunctionalInterface
public interface Sleeper {
    /** Waits for a time in milliseconds. */
    void millis(long time);

    /** Returns a pause that blocks the thread. */
    static Sleeper blocking() {
        return time -> {
            try {
                new CountDownLatch(1).await(time, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
