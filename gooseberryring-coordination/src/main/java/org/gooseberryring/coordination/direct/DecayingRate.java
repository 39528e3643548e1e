package org.gooseberryring.coordination.direct;

/** Measures a rate with exponential decay of older events. */
final class DecayingRate {
    private static final double HALF_LIFE_MILLIS = 3_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double GAIN = Math.log(2) * MILLIS_PER_SECOND / HALF_LIFE_MILLIS;

    private double perSecond;
    private long at;

    void add(double amount, long now) {
        perSecond = perSecond(now) + amount * GAIN;
        at = now;
    }

    double perSecond(long now) {
        return perSecond * Math.pow(0.5, (now - at) / HALF_LIFE_MILLIS);
    }
}
