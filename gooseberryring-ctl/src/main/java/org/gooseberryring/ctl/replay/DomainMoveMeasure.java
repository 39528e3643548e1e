package org.gooseberryring.ctl.replay;

import java.util.List;

/** Computes the share of requests served while failure domains leave and return. */
final class DomainMoveMeasure {
    private static final String OUT = "domain-out:";
    private static final String IN = "domain-in:";
    // Returning endpoints are cold: the load report and the slow start take a few seconds.
    private static final int SETTLING_SECONDS = 10;

    private DomainMoveMeasure() {}

    /**
     * Returns the share of requests served from the first leave until the settling time after the last return.
     *
     * @return share from 0 to 1; 1 if no failure domain leaves and returns, or no request is sent in that time
     */
    static double of(List<ReplayReport.Second> seconds, List<ReplayReport.Mark> marks) {
        double from = Double.MAX_VALUE;
        double to = -1;
        for (ReplayReport.Mark mark : marks) {
            if (mark.fault().startsWith(OUT)) {
                from = Math.min(from, mark.second());
            } else if (mark.fault().startsWith(IN)) {
                to = Math.max(to, mark.second() + SETTLING_SECONDS);
            }
        }
        long sent = 0;
        long served = 0;
        for (ReplayReport.Second second : seconds) {
            if (second.second() >= Math.floor(from) && second.second() <= to) {
                sent += second.sent();
                served += second.served();
            }
        }
        return sent == 0 ? 1 : (double) served / sent;
    }
}
