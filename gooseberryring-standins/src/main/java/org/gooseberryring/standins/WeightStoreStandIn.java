package org.gooseberryring.standins;

/** Stand-in of the weight store: loads slow down when more of them run than it serves at full speed. */
public final class WeightStoreStandIn {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Kind models;
    private final Kind adapters;

    /**
     * Creates a weight store.
     *
     * @param loadsPerSecond model loads a second at full speed
     * @param concurrency model loads in flight at full speed
     * @param adapterMillis duration of an adapter load in milliseconds
     * @param adapterConcurrency adapter loads in flight at full speed
     */
    public WeightStoreStandIn(double loadsPerSecond, int concurrency, long adapterMillis, int adapterConcurrency) {
        this.models = new Kind(concurrency * MILLIS_PER_SECOND / loadsPerSecond, concurrency);
        this.adapters = new Kind(adapterMillis, adapterConcurrency);
    }

    /** Starts a load and runs a task when it is finished. */
    public void load(boolean adapter, Runnable done) {
        Kind kind = adapter ? adapters : models;
        StandInServer.after(kind.begin(), () -> {
            kind.end();
            done.run();
        });
    }

    /** Returns what the store has served so far. */
    public WeightStoreRecord record() {
        return new WeightStoreRecord(models.loads(), models.peak(), adapters.loads(), adapters.peak());
    }

    /** Loads of one kind that share a concurrency. */
    private static final class Kind {
        private final double millis;
        private final int concurrency;
        private int inFlight;
        private int peak;
        private long loads;

        Kind(double millis, int concurrency) {
            this.millis = millis;
            this.concurrency = concurrency;
        }

        synchronized long begin() {
            inFlight++;
            loads++;
            peak = Math.max(peak, inFlight);
            return Math.max(1, Math.round(millis * Math.max(1.0, (double) inFlight / concurrency)));
        }

        synchronized void end() {
            inFlight--;
        }

        synchronized int peak() {
            return peak;
        }

        synchronized long loads() {
            return loads;
        }
    }
}
