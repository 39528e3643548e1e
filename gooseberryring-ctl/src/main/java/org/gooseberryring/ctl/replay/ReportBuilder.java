package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import org.HdrHistogram.Histogram;

/** Computes the report of a replay from its outcomes. */
final class ReportBuilder {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String NO_RESPONSE = "no-answer";

    private final Map<String, OrganisationAccess> organisations;
    private final Outcome.Objective objective;
    private final Map<String, MeasureWeights> weights;

    ReportBuilder(
            Map<String, OrganisationAccess> organisations,
            Outcome.Objective objective,
            Map<String, MeasureWeights> weights) {
        this.organisations = organisations;
        this.objective = objective;
        this.weights = weights;
    }

    ReplayReport build(List<Outcome> outcomes, List<TraceLine> trace, double speed, int sentLate) {
        // Outcomes are compared by identity because two requests may have equal outcomes.
        Set<Integer> wronglyRefused = new HashSet<>();
        new RateCheck(organisations)
                .refusedWithinRate(outcomes)
                .forEach(outcome -> wronglyRefused.add(System.identityHashCode(outcome)));
        Map<String, List<Outcome>> byOrganisation = new TreeMap<>();
        outcomes.forEach(outcome -> byOrganisation
                .computeIfAbsent(outcome.line().organisation(), id -> new ArrayList<>())
                .add(outcome));
        List<ReplayReport.OrganisationFigures> figures = byOrganisation.entrySet().stream()
                .map(entry -> figures(entry.getKey(), entry.getValue(), wronglyRefused))
                .toList();
        ReplayReport.OrganisationFigures worst = figures.stream()
                .min(Comparator.comparingDouble(ReplayReport.OrganisationFigures::attainment))
                .orElse(new ReplayReport.OrganisationFigures("", 0, 0, 0, 0, 1));
        double attainment = attainment(outcomes, wronglyRefused);
        List<ReplayReport.Second> seconds = seconds(outcomes);
        List<ReplayReport.Mark> marks = marks(trace, speed);
        double moveService = DomainMoveMeasure.of(seconds, marks);
        double notWronglyRefused = outcomes.isEmpty() ? 1 : 1 - (double) wronglyRefused.size() / outcomes.size();
        Map<String, Double> weightedMeans = new TreeMap<>();
        weights.forEach((user, weight) ->
                weightedMeans.put(user, weight.mean(attainment, worst.attainment(), notWronglyRefused, moveService)));
        return new ReplayReport(
                outcomes.size(),
                (int) outcomes.stream().filter(Outcome::isServed).count(),
                attainment,
                worst.id(),
                worst.attainment(),
                moveService,
                weightedMeans,
                wronglyRefused.size(),
                refusals(outcomes),
                sentLate,
                percentiles(outcomes, Outcome::firstTokenMicros),
                percentiles(outcomes, Outcome::totalMicros),
                figures,
                seconds,
                marks);
    }

    private ReplayReport.OrganisationFigures figures(String id, List<Outcome> outcomes, Set<Integer> wronglyRefused) {
        return new ReplayReport.OrganisationFigures(
                id,
                outcomes.size(),
                (int) outcomes.stream().filter(Outcome::isServed).count(),
                (int) outcomes.stream().filter(Outcome::isRefused).count(),
                (int) outcomes.stream()
                        .filter(outcome -> wronglyRefused.contains(System.identityHashCode(outcome)))
                        .count(),
                attainment(outcomes, wronglyRefused));
    }

    private double attainment(List<Outcome> outcomes, Set<Integer> wronglyRefused) {
        List<Outcome> counted = outcomes.stream()
                .filter(outcome -> !outcome.isRefused() || wronglyRefused.contains(System.identityHashCode(outcome)))
                .toList();
        long attained =
                counted.stream().filter(outcome -> outcome.meets(objective)).count();
        return counted.isEmpty() ? 1 : (double) attained / counted.size();
    }

    private static Map<String, Integer> refusals(List<Outcome> outcomes) {
        Map<String, Integer> refusals = new TreeMap<>();
        for (Outcome outcome : outcomes) {
            if (outcome.isRefused()) {
                refusals.merge(
                        outcome.code().isEmpty() ? "status-" + outcome.status() : outcome.code(), 1, Integer::sum);
            } else if (!outcome.complete()) {
                refusals.merge(NO_RESPONSE, 1, Integer::sum);
            }
        }
        return refusals;
    }

    private static ReplayReport.Percentiles percentiles(List<Outcome> outcomes, ToLongFunction<Outcome> micros) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        outcomes.stream()
                .filter(Outcome::isServed)
                .forEach(outcome -> histogram.recordValue(Math.max(0, micros.applyAsLong(outcome))));
        return new ReplayReport.Percentiles(
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI);
    }

    private static List<ReplayReport.Second> seconds(List<Outcome> outcomes) {
        int last = outcomes.stream().mapToInt(ReportBuilder::second).max().orElse(-1);
        int[] sent = new int[last + 1];
        int[] served = new int[last + 1];
        int[] refused = new int[last + 1];
        long[] tokens = new long[last + 1];
        for (Outcome outcome : outcomes) {
            int second = second(outcome);
            sent[second]++;
            served[second] += outcome.isServed() ? 1 : 0;
            refused[second] += outcome.isRefused() ? 1 : 0;
            tokens[second] += outcome.isServed() ? outcome.line().outputTokens() : 0;
        }
        List<ReplayReport.Second> seconds = new ArrayList<>();
        for (int i = 0; i <= last; i++) {
            seconds.add(new ReplayReport.Second(i, sent[i], served[i], refused[i], tokens[i]));
        }
        return seconds;
    }

    private static List<ReplayReport.Mark> marks(List<TraceLine> trace, double speed) {
        return trace.stream()
                .filter(line -> !line.request())
                .map(line ->
                        new ReplayReport.Mark(line.timeMillis() / speed / (double) MILLIS_PER_SECOND, line.fault()))
                .toList();
    }

    private static int second(Outcome outcome) {
        return (int) (outcome.sentMillis() / MILLIS_PER_SECOND);
    }
}
