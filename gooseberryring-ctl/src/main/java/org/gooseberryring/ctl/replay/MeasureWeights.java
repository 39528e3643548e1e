package org.gooseberryring.ctl.replay;

/**
 * Weights of the measures in the weighted mean of one user.
 *
 * @param attainment weight of the attainment over all organisations
 * @param worstOrganisation weight of the attainment of the worst-served organisation
 * @param withinRateRefusals weight of the share of requests that were not refused while within their organisation's rate
 * @param domainMove weight of the share of requests served while a failure domain leaves and returns
 */
record MeasureWeights(double attainment, double worstOrganisation, double withinRateRefusals, double domainMove) {
    /** Returns the weighted mean of the measures, from 0 to 100. */
    double mean(double attained, double worst, double notWronglyRefused, double moveService) {
        double sum = attainment + worstOrganisation + withinRateRefusals + domainMove;
        double weighted = attainment * attained
                + worstOrganisation * worst
                + withinRateRefusals * notWronglyRefused
                + domainMove * moveService;
        return sum == 0 ? 0 : 100 * weighted / sum;
    }
}
