package org.gooseberryring.host;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.gooseberryring.state.Verdict;

/** Metrics of a host. */
public final class HostMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    /** Counts a rejected request by error code. */
    public void refused(String code) {
        registry.counter("refused." + code).inc();
    }

    /** Records the verdict and the duration of an attempt at an endpoint. */
    public void attemptEnded(Verdict verdict, long nanos) {
        registry.counter("attempts." + verdict.wireName()).inc();
        registry.timer("attempt.duration").update(nanos, TimeUnit.NANOSECONDS);
    }

    public Counter counter(String name) {
        return registry.counter(name);
    }

    public Timer timer(String name) {
        return registry.timer(name);
    }

    /** Registers a gauge whose value is read when the metrics are requested. */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    public MetricRegistry registry() {
        return registry;
    }
}
