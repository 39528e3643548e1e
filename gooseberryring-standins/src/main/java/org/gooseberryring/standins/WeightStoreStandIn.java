package org.gooseberryring.standins;

/** Stand-in of the weight store. Loads slow down when more of them are in flight than it serves at full speed. */
public final class WeightStoreStandIn {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final LoadChannel models;
    private final LoadChannel adapters;

    /**
     * Creates a weight store.
     *
     * @param loadsPerSecond model loads per second at full speed
     * @param concurrency maximum number of model loads in flight at full speed
     * @param adapterMillis duration of an adapter load in milliseconds
     * @param adapterConcurrency maximum number of adapter loads in flight at full speed
     */
    public WeightStoreStandIn(double loadsPerSecond, int concurrency, long adapterMillis, int adapterConcurrency) {
        this.models = new LoadChannel(concurrency * MILLIS_PER_SECOND / loadsPerSecond, concurrency);
        this.adapters = new LoadChannel(adapterMillis, adapterConcurrency);
    }

    /** Starts a load and runs a task when the load is complete. */
    public void load(boolean adapter, Runnable onLoaded) {
        LoadChannel channel = adapter ? adapters : models;
        StandInServer.runAfter(channel.begin(), () -> {
            channel.end();
            onLoaded.run();
        });
    }

    /** Returns the counters of the store since its creation. */
    public WeightStoreRecord record() {
        return new WeightStoreRecord(models.loads(), models.peakInFlight(), adapters.loads(), adapters.peakInFlight());
    }

    /** Loads of one kind, models or adapters, which share one concurrency limit. */
    private static final class LoadChannel {
        private final double fullSpeedMillis;
        private final int concurrency;
        private int inFlight;
        private int peakInFlight;
        private long loads;

        LoadChannel(double fullSpeedMillis, int concurrency) {
            this.fullSpeedMillis = fullSpeedMillis;
            this.concurrency = concurrency;
        }

        /** Begins a load and returns its duration in milliseconds. */
        synchronized long begin() {
            inFlight++;
            loads++;
            peakInFlight = Math.max(peakInFlight, inFlight);
            return Math.max(1, Math.round(fullSpeedMillis * Math.max(1.0, (double) inFlight / concurrency)));
        }

        synchronized void end() {
            inFlight--;
        }

        synchronized int peakInFlight() {
            return peakInFlight;
        }

        synchronized long loads() {
            return loads;
        }
    }
}
