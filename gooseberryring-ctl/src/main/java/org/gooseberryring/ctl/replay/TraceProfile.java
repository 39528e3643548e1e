package org.gooseberryring.ctl.replay;

import java.util.List;
import java.util.Locale;

/** Traffic profile of a user of the system. */
public enum TraceProfile {
    /** Cheque book validations: short responses, prioritised high-value work, reorders that must run only once. */
    INKINGI(List.of(0.40, 0.25, 0.20, 0.10, 0.05), 20, 75, 300, 40, 0.30, 0.05, 0.10),
    /** Franchise order desk: card messages during the day and checks in batches. */
    WATTLE(List.of(0.35, 0.30, 0.15, 0.12, 0.08), 17, 55, 150, 80, 0.05, 0.40, 0.05);

    private final List<Double> shares;
    private final int models;
    private final int adapters;
    private final int promptTokens;
    private final int outputTokens;
    private final double highShare;
    private final double batchShare;
    private final double nonIdempotentShare;

    TraceProfile(
            List<Double> shares,
            int models,
            int adapters,
            int promptTokens,
            int outputTokens,
            double highShare,
            double batchShare,
            double nonIdempotentShare) {
        this.shares = shares;
        this.models = models;
        this.adapters = adapters;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.highShare = highShare;
        this.batchShare = batchShare;
        this.nonIdempotentShare = nonIdempotentShare;
    }

    /** Returns the share of each organisation in the traffic. */
    List<Double> shares() {
        return shares;
    }

    int models() {
        return models;
    }

    int adapters() {
        return adapters;
    }

    /** Returns the median length of a prompt, in tokens. */
    int promptTokens() {
        return promptTokens;
    }

    /** Returns the median length of a response, in tokens. */
    int outputTokens() {
        return outputTokens;
    }

    double highShare() {
        return highShare;
    }

    double batchShare() {
        return batchShare;
    }

    /** Returns the share of requests that must not run twice. */
    double nonIdempotentShare() {
        return nonIdempotentShare;
    }

    String organisation(int index) {
        return name().toLowerCase(Locale.ROOT) + "-" + (index + 1);
    }

    static String model(int index) {
        return String.format("model-%02d", index + 1);
    }

    static String adapter(int index) {
        return String.format("adapter-%02d", index + 1);
    }
}
