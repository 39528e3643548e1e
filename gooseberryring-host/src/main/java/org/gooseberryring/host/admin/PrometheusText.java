package org.gooseberryring.host.admin;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/** Renders metrics in the Prometheus text format. */
public final class PrometheusText {
    /** Media type of the text format. */
    public static final String MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "gooseberryring_";
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private PrometheusText() {}

    /** Renders all metrics of a registry. */
    public static String render(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Gauge> e : registry.getGauges().entrySet()) {
            metric(
                    text,
                    name(e.getKey()),
                    "gauge",
                    "",
                    String.valueOf(e.getValue().getValue()));
        }
        for (Map.Entry<String, Counter> e : registry.getCounters().entrySet()) {
            metric(
                    text,
                    name(e.getKey()) + "_total",
                    "counter",
                    "",
                    Long.toString(e.getValue().getCount()));
        }
        for (Map.Entry<String, Timer> e : registry.getTimers().entrySet()) {
            summary(text, name(e.getKey()) + "_seconds", e.getValue());
        }
        return text.toString();
    }

    private static void summary(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        line(text, name, "{quantile=\"0.5\"}", seconds(snapshot.getMedian()));
        line(text, name, "{quantile=\"0.95\"}", seconds(snapshot.get95thPercentile()));
        line(text, name, "{quantile=\"0.99\"}", seconds(snapshot.get99thPercentile()));
        line(text, name + "_count", "", Long.toString(timer.getCount()));
    }

    private static void metric(StringBuilder text, String name, String type, String labels, String value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        line(text, name, labels, value);
    }

    private static void line(StringBuilder text, String name, String labels, String value) {
        text.append(name).append(labels).append(' ').append(value).append('\n');
    }

    private static String seconds(double nanos) {
        return Double.toString(nanos / NANOS_PER_SECOND);
    }

    private static String name(String metric) {
        return PREFIX + metric.replaceAll("[^A-Za-z0-9]", "_");
    }
}
