package org.gooseberryring.ctl.replay;

import java.util.List;
import java.util.Map;

/**
 * Report of a replay.
 *
 * @param requests requests sent
 * @param served requests with a complete response
 * @param attainment share of the requests within the rate that met the latency objective, from 0 to 1
 * @param worstOrganisation organisation with the lowest attainment
 * @param worstAttainment attainment of that organisation
 * @param domainMoveService share of requests served while failure domains leave and return, from 0 to 1
 * @param weightedMeans weighted mean of the measures by user, from 0 to 100; empty without weights
 * @param withinRateRefusals requests refused although within the rate of their organisation
 * @param refusalsByCode refusals by code
 * @param sentLate requests sent late because too many were in flight
 * @param firstToken time to the first token of served requests
 * @param total time to the end of served requests
 * @param organisations figures by organisation
 * @param seconds figures of each second of the replay
 * @param marks fault marks of the trace
 */
record ReplayReport(
        int requests,
        int served,
        double attainment,
        String worstOrganisation,
        double worstAttainment,
        double domainMoveService,
        Map<String, Double> weightedMeans,
        int withinRateRefusals,
        Map<String, Integer> refusalsByCode,
        int sentLate,
        Percentiles firstToken,
        Percentiles total,
        List<OrganisationFigures> organisations,
        List<Second> seconds,
        List<Mark> marks) {
    /** Percentiles of a latency in milliseconds. */
    record Percentiles(double p50, double p95, double p99, double p999, double max) {}

    /** Figures of an organisation; refusals above its rate do not lower the attainment. */
    record OrganisationFigures(
            String id, int requests, int served, int refused, int refusedWithinRate, double attainment) {}

    /** Figures of the requests sent in one second: requests sent, served and refused, and tokens served. */
    record Second(int second, int sent, int served, int refused, long servedTokens) {}

    /** Fault mark and its time in seconds since the start of the replay. */
    record Mark(double second, String fault) {}
}
