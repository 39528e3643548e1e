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

    /** Counts a refusal with its code. */
    public void refused(String code) {
        registry.counter("refused." + code).inc();
    }

    /** Notes the end of an attempt at an endpoint and how long it took. */
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

    /** Shows a value that is read when the metrics are asked for. */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    public MetricRegistry registry() {
        return registry;
    }
}
