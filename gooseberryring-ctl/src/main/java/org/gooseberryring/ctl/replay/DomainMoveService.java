package org.gooseberryring.ctl.replay;

import java.util.List;

/** Computes the service while failure domains leave and return. */
final class DomainMoveService {
    private static final String OUT = "domain-out:";
    private static final String IN = "domain-in:";
    // Endpoints that return are cold; a load report and the slow start take a few seconds.
    private static final int SETTLING_SECONDS = 10;

    private DomainMoveService() {}

    /**
     * Returns the share of requests served in the seconds from the first leave to some time after the last return, from
     * 0 to 1; 1 if no failure domain moves.
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
