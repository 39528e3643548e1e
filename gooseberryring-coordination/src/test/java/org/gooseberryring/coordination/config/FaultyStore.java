package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/** Simulated object store that loses replies, delays writes and returns stale reads. */
public final class FaultyStore {
    private final Random random;
    private final BiConsumer<Integer, Runnable> schedule;
    private final Map<String, List<byte[]>> objects = new HashMap<>();
    private double faultRate;
    private boolean down;
    private int calls;

    /**
     * Creates a store.
     *
     * @param random random generator that chooses the faults and delays
     * @param schedule runs an action after a number of milliseconds
     * @param faultRate probability that a call fails with a random fault
     */
    public FaultyStore(Random random, BiConsumer<Integer, Runnable> schedule, double faultRate) {
        this.random = random;
        this.schedule = schedule;
        this.faultRate = faultRate;
    }

    public void setDown(boolean isDown) {
        down = isDown;
    }

    public void setFaultRate(double rate) {
        faultRate = rate;
    }

    public int calls() {
        return calls;
    }

    /** Returns the version of an object, which is the number of its writes. */
    public long version(String key) {
        return objects.getOrDefault(key, List.of()).size();
    }

    /** Returns the content of an object, or null. */
    public byte[] value(String key) {
        List<byte[]> versions = objects.get(key);
        return versions == null ? null : versions.get(versions.size() - 1);
    }

    /** Carries out a call; the reply arrives after a random delay. */
    public void call(StoreRequest request, Consumer<StoreReply> onReply) {
        calls++;
        int delay = 1 + random.nextInt(10);
        if (down) {
            reply(delay, onReply, request, StoreOutcome.UNAVAILABLE);
        } else if (random.nextDouble() < faultRate) {
            fault(request, onReply, delay);
        } else {
            schedule.accept(delay, () -> {
                StoreReply reply = apply(request, false);
                schedule.accept(1 + random.nextInt(10), () -> onReply.accept(reply));
            });
        }
    }

    private void fault(StoreRequest request, Consumer<StoreReply> onReply, int delay) {
        switch (random.nextInt(5)) {
            case 0: // The request is lost.
                reply(delay, onReply, request, StoreOutcome.UNKNOWN);
                break;
            case 1: // The call takes effect, but its reply is lost.
                schedule.accept(1, () -> apply(request, false));
                reply(delay, onReply, request, StoreOutcome.UNKNOWN);
                break;
            case 2: // The call takes effect after the caller timed out.
                reply(delay, onReply, request, StoreOutcome.UNKNOWN);
                schedule.accept(delay + random.nextInt(2_000), () -> apply(request, false));
                break;
            case 3:
                reply(delay, onReply, request, StoreOutcome.UNAVAILABLE);
                break;
            default: // A read returns a stale version, and the reply is delayed.
                schedule.accept(delay, () -> {
                    StoreReply reply = apply(request, true);
                    schedule.accept(random.nextInt(1_000), () -> onReply.accept(reply));
                });
                break;
        }
    }

    private void reply(int delay, Consumer<StoreReply> onReply, StoreRequest request, StoreOutcome outcome) {
        schedule.accept(delay, () -> onReply.accept(new StoreReply(request.key(), outcome, 0, null)));
    }

    private StoreReply apply(StoreRequest request, boolean stale) {
        List<byte[]> versions = objects.getOrDefault(request.key(), List.of());
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != versions.size()) {
                return new StoreReply(put.key(), StoreOutcome.CONFLICT, versions.size(), null);
            }
            List<byte[]> updated = new ArrayList<>(versions);
            updated.add(put.value());
            objects.put(put.key(), updated);
            return new StoreReply(put.key(), StoreOutcome.OK, updated.size(), null);
        }
        int version = versions.size() - (stale ? random.nextInt(3) : 0);
        return version <= 0
                ? new StoreReply(request.key(), StoreOutcome.ABSENT, 0, null)
                : new StoreReply(request.key(), StoreOutcome.OK, version, versions.get(version - 1));
    }
}
