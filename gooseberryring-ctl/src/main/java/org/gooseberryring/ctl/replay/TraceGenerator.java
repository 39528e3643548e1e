package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Generates reproducible traces from a seed.
 *
 * <p>The arrivals of each organisation are Poisson-distributed with bursts. The popularity of the models follows a Zipf
 * distribution that shifts in the middle of the trace. In the third fifth of the trace, the smallest organisation sends
 * several times its share.
 */
final class TraceGenerator {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double ZIPF_EXPONENT = 1.1;
    private static final double LENGTH_SIGMA = 0.6;
    private static final int MAX_LENGTH_FACTOR = 8;
    private static final double ADAPTER_SHARE = 0.7;
    private static final double BURST_FACTOR = 2.5;
    private static final double BURST_SHARE = 0.15;
    private static final double BURST_MILLIS = 2_000;
    private static final double OVERLOAD_FACTOR = 5;
    private static final double OVERLOAD_START = 0.4;
    private static final double OVERLOAD_END = 0.6;
    private static final double DOMAIN_OUT = 0.7;
    private static final double DOMAIN_IN = 0.85;

    private final TraceProfile profile;
    private final Random random;
    private final long lengthMillis;
    private final double requestsPerSecond;
    private final double[] popularity;

    TraceGenerator(TraceProfile profile, long seed, int seconds, double requestsPerSecond) {
        this.profile = profile;
        this.random = new Random(seed);
        this.lengthMillis = (long) (seconds * MILLIS_PER_SECOND);
        this.requestsPerSecond = requestsPerSecond;
        this.popularity = cumulativeZipf(profile.models());
    }

    /**
     * Generates the trace.
     *
     * @param domain failure domain whose leave and return are marked in the trace
     */
    List<TraceLine> generate(String domain) {
        List<TraceLine> lines = new ArrayList<>();
        for (int i = 0; i < profile.shares().size(); i++) {
            addOrganisation(lines, i);
        }
        lines.add(TraceLine.mark((long) (lengthMillis * DOMAIN_OUT), "domain-out:" + domain));
        lines.add(TraceLine.mark((long) (lengthMillis * DOMAIN_IN), "domain-in:" + domain));
        lines.sort(Comparator.comparingLong(TraceLine::timeMillis));
        return lines;
    }

    private void addOrganisation(List<TraceLine> lines, int index) {
        double meanRate = requestsPerSecond * profile.shares().get(index);
        boolean overloads = index == profile.shares().size() - 1;
        double quietRate = meanRate * (1 - BURST_SHARE * BURST_FACTOR) / (1 - BURST_SHARE);
        boolean burst = false;
        double phaseEnd = 0;
        double time = 0;
        while (time < lengthMillis) {
            if (time >= phaseEnd) {
                burst = random.nextDouble() < BURST_SHARE;
                phaseEnd = time + exponential(BURST_MILLIS);
            }
            double rate = burst ? meanRate * BURST_FACTOR : quietRate;
            boolean overload = overloads && time >= lengthMillis * OVERLOAD_START && time < lengthMillis * OVERLOAD_END;
            time += exponential(MILLIS_PER_SECOND / (overload ? rate * OVERLOAD_FACTOR : rate));
            if (time < lengthMillis) {
                lines.add(line((long) time, index));
            }
        }
    }

    private TraceLine line(long time, int organisation) {
        int shift = time > lengthMillis / 2 ? profile.models() / 2 : 0;
        int model = (sampleIndex(popularity) + shift) % profile.models();
        return new TraceLine(
                time,
                profile.organisation(organisation),
                TraceProfile.model(model),
                random.nextDouble() < ADAPTER_SHARE ? adapter(model) : null,
                length(profile.promptTokens()),
                length(profile.outputTokens()),
                priorityClass(),
                random.nextDouble() >= profile.nonIdempotentShare(),
                null);
    }

    /** Returns a random adapter of a model; adapter i belongs to model i modulo the number of models. */
    private String adapter(int model) {
        int count = (profile.adapters() - model - 1) / profile.models() + 1;
        return TraceProfile.adapter(model + random.nextInt(count) * profile.models());
    }

    private String priorityClass() {
        double x = random.nextDouble();
        if (x < profile.highShare()) {
            return "high";
        }
        return x < profile.highShare() + profile.batchShare() ? "batch" : "normal";
    }

    private int length(int median) {
        double length = median * Math.exp(LENGTH_SIGMA * random.nextGaussian());
        return (int) Math.max(1, Math.min(length, (double) median * MAX_LENGTH_FACTOR));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private int sampleIndex(double[] cumulative) {
        double x = random.nextDouble();
        int index = 0;
        while (index < cumulative.length - 1 && x > cumulative[index]) {
            index++;
        }
        return index;
    }

    private static double[] cumulativeZipf(int count) {
        double[] cumulative = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -ZIPF_EXPONENT);
            cumulative[i] = sum;
        }
        for (int i = 0; i < count; i++) {
            cumulative[i] /= sum;
        }
        return cumulative;
    }
}
