package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReportBuilderTest {
    private static final Map<String, OrganisationAccess> ACCESS =
            Map.of("o", new OrganisationAccess("k", 10, 100), "p", new OrganisationAccess("k", 10, 100));

    /** Guards against refusals above the rate that lower the attainment, and refusals within it that are missed. */
    @Test
    void countsRefusalsWithinRateByEarlierAdmissions() {
        List<Outcome> outcomes = new ArrayList<>();
        outcomes.add(outcome("o", 0, 200, null));
        outcomes.add(outcome("o", 0, 429, "rate-limited"));
        outcomes.add(outcome("o", 1_000, 200, null));
        outcomes.add(outcome("o", 1_000, 429, "rate-limited"));
        outcomes.add(outcome("o", 6_000, 429, "rate-limited"));

        ReplayReport report = build(outcomes);

        assertThat(report.withinRateRefusals()).isEqualTo(2);
        assertThat(report.refusalsByCode()).containsExactly("rate-limited", 3);
        assertThat(report.attainment()).isEqualTo(0.5);
    }

    /** Guards against an overall attainment that hides the worst organisation. */
    @Test
    void reportsWorstOrganisation() {
        ReplayReport report = build(List.of(
                outcome("o", 0, 200, null),
                outcome("p", 0, 200, null),
                new Outcome(line("p", 0), 0, 200, null, false, 1, 2)));

        assertThat(report.worstOrganisation()).isEqualTo("p");
        assertThat(report.worstAttainment()).isEqualTo(0.5);
        assertThat(report.refusalsByCode()).containsExactly("no-answer", 1);
    }

    /** Guards against a weighted mean that ignores failures while a failure domain is out of service. */
    @Test
    void includesDomainMoveInWeightedMean() {
        List<TraceLine> trace = List.of(TraceLine.mark(2_000, "domain-out:b"), TraceLine.mark(4_000, "domain-in:b"));
        List<Outcome> outcomes = List.of(
                outcome("o", 0, 200, null),
                outcome("o", 3_000, 503, "no-endpoint"),
                outcome("o", 3_000, 200, null),
                outcome("o", 20_000, 200, null));

        ReplayReport report = builder().build(outcomes, trace, 1, 0);

        assertThat(report.domainMoveService()).isEqualTo(0.5);
        assertThat(report.weightedMeans()).containsExactly("u", 100 * (2 * report.attainment() + 2 * 0.5) / 4);
    }

    /** Guards against a page that loads other files or does not escape names from the trace. */
    @Test
    void rendersSelfContainedEscapedPage() {
        List<TraceLine> trace = List.of(TraceLine.mark(0, "<script>"));

        String page = ReportPage.render(builder().build(List.of(outcome("o", 0, 200, null)), trace, 1, 0));

        assertThat(page).contains("&lt;script&gt;");
        assertThat(page).doesNotContain("<script");
        assertThat(page).doesNotContain("http");
        assertThat(page).contains("<polyline");
    }

    private static ReplayReport build(List<Outcome> outcomes) {
        return builder().build(outcomes, List.of(), 1, 0);
    }

    private static ReportBuilder builder() {
        return new ReportBuilder(ACCESS, new Outcome.Objective(1, 1), Map.of("u", new MeasureWeights(1, 1, 0, 2)));
    }

    private static TraceLine line(String organisation, long time) {
        return new TraceLine(time, organisation, "m", null, 40, 10, null, true, null);
    }

    private static Outcome outcome(String organisation, long time, int status, String code) {
        return new Outcome(line(organisation, time), time, status, code, true, 500, 1_000);
    }
}
