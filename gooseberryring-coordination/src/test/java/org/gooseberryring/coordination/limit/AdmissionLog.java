package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.List;

/** Records the admissions of all hosts and the limits in effect, and checks every window. */
final class AdmissionLog {
    /** Rate in tokens per second and burst in tokens from a point in time. */
    private record Limit(long from, long rate, long burst) {}

    private final List<long[]> admissions = new ArrayList<>();
    private final List<Limit> limits = new ArrayList<>();

    /** Records a request with its reserved tokens; returns its number. */
    int admit(long now, long tokens) {
        admissions.add(new long[] {now, tokens});
        return admissions.size() - 1;
    }

    void settle(int number, long used) {
        admissions.get(number)[1] = used;
    }

    int size() {
        return admissions.size();
    }

    void limit(long now, long rate, long burst) {
        Limit last = limits.isEmpty() ? null : limits.get(limits.size() - 1);
        if (last == null || last.rate() != rate || last.burst() != burst) {
            limits.add(new Limit(now, rate, burst));
        }
    }

    /**
     * Returns the largest excess over rate times time plus burst in any window, in tokens; negative or 0 if no window
     * exceeds the limit. For windows that begin under one limit and end under another, the larger burst and the rate in
     * effect at each point in time apply. A request that is not settled counts in full.
     */
    double excess() {
        double worst = -Double.MAX_VALUE;
        for (int i = 0; i < limits.size(); i++) {
            worst = Math.max(worst, excessFrom(i));
        }
        return worst;
    }

    private double excessFrom(int first) {
        double worst = -Double.MAX_VALUE;
        double debt = 0;
        int limit = first;
        long burst = limits.get(first).burst();
        long time = limits.get(first).from();
        for (long[] admission : admissions) {
            if (admission[0] < limits.get(first).from()) {
                continue;
            }
            while (limit + 1 < limits.size() && limits.get(limit + 1).from() <= admission[0]) {
                debt = decay(
                        debt, limits.get(limit).rate(), limits.get(limit + 1).from() - time);
                time = limits.get(limit + 1).from();
                limit++;
                burst = Math.max(burst, limits.get(limit).burst());
            }
            debt = decay(debt, limits.get(limit).rate(), admission[0] - time) + admission[1];
            time = admission[0];
            worst = Math.max(worst, debt - burst);
        }
        return worst;
    }

    private static double decay(double debt, long rate, long millis) {
        return Math.max(0, debt - rate * millis / 1_000.0);
    }
}
