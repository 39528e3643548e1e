package org.gooseberryring.host.config;

import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.transport.store.ObjectStore;
import org.jboss.logging.Logger;

/** Follows the configuration object in the store, by watching it or, while that fails, by polling. */
public final class ConfigurationFollower implements AutoCloseable {
    /** Key of the configuration object. */
    public static final String HEAD = "config/head";

    private static final Logger LOG = Logger.getLogger(ConfigurationFollower.class);
    private static final int MAX_BACKOFF_FACTOR = 16;

    private final ObjectStore store;
    private final ConfigurationHolder holder;
    private final HostSettings.Timeouts timeouts;
    private final LongSupplier clock;
    private final SplittableRandom random;
    private final CountDownLatch stop = new CountDownLatch(1);
    private final Thread thread;
    private long version;
    private int failures;

    /**
     * Creates a follower that is not started yet.
     *
     * @param clock monotonic milliseconds
     * @param seed seed of the jitter, different on every host
     */
    public ConfigurationFollower(
            ObjectStore store,
            ConfigurationHolder holder,
            HostSettings.Timeouts timeouts,
            LongSupplier clock,
            long seed) {
        this.store = store;
        this.holder = holder;
        this.timeouts = timeouts;
        this.clock = clock;
        this.random = new SplittableRandom(seed);
        this.thread = new Thread(this::run, "configuration");
        thread.setDaemon(true);
    }

    public ConfigurationFollower start() {
        thread.start();
        return this;
    }

    @Override
    public void close() {
        stop.countDown();
        thread.interrupt();
    }

    private void run() {
        boolean stopped = false;
        while (!stopped) {
            try {
                stopped = stop.await(step(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException e) {
                LogLine.event("configuration-follower-failure").error(LOG, e);
                failures++;
            }
        }
    }

    /** Makes one call to the store and returns the milliseconds to wait before the next. */
    private long step() {
        // The time before the call counts, because a late answer says nothing about the time since.
        long askedAt = clock.getAsLong();
        // A watch on an object that does not exist yet ends only after its whole wait, so the first call is a read.
        boolean readNow = version == 0 || failures > 0;
        StoreReply reply = readNow ? store.read(HEAD) : store.watch(HEAD, version, timeouts.watchMillis());
        switch (reply.outcome()) {
            case OK -> {
                version = reply.version();
                holder.adopt(reply.value(), "store");
                confirmed(askedAt);
                return 0;
            }
            case CONFLICT -> {
                confirmed(askedAt);
                return 0;
            }
            case ABSENT -> {
                confirmed(askedAt);
                return jitter(timeouts.pollMillis());
            }
            default -> {
                failures++;
                int factor = Math.min(MAX_BACKOFF_FACTOR, 1 << Math.min(failures - 1, MAX_BACKOFF_FACTOR));
                return jitter(timeouts.pollMillis() * factor);
            }
        }
    }

    private void confirmed(long askedAt) {
        failures = 0;
        holder.confirm(askedAt);
    }

    /** Spreads retries evenly over half to one and a half of the mean, so that hosts do not return together. */
    private long jitter(long meanMillis) {
        return meanMillis / 2 + random.nextLong(meanMillis + 1);
    }
}
