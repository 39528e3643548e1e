package org.gooseberryring.ctl.replay;

import java.util.Locale;

/** Renders the report of a replay as text. */
final class ReportText {
    private ReportText() {}

    static String render(ReplayReport report) {
        StringBuilder text = new StringBuilder();
        line(text, "requests: %d, served: %d, sent late: %d", report.requests(), report.served(), report.sentLate());
        line(text, "attainment: %.4f", report.attainment());
        line(text, "worst organisation: %s, attainment %.4f", report.worstOrganisation(), report.worstAttainment());
        line(text, "refused within the rate: %d", report.withinRateRefusals());
        line(text, "served while failure domains leave and return: %.4f", report.domainMoveService());
        report.weightedMeans().forEach((user, mean) -> line(text, "weighted mean of %s: %.2f", user, mean));
        line(text, "refusals by code: %s", report.refusalsByCode());
        latency(text, "first token", report.firstToken());
        latency(text, "total", report.total());
        line(text, "");
        line(
                text,
                "  %-20s %9s %9s %9s %12s %10s",
                "organisation",
                "requests",
                "served",
                "refused",
                "within rate",
                "attained");
        report.organisations()
                .forEach(o -> line(
                        text,
                        "  %-20s %9d %9d %9d %12d %10.4f",
                        o.id(),
                        o.requests(),
                        o.served(),
                        o.refused(),
                        o.refusedWithinRate(),
                        o.attainment()));
        line(text, "");
        line(text, "  %6s %7s %7s %8s %14s", "second", "sent", "served", "refused", "served tokens");
        for (ReplayReport.Second second : report.seconds()) {
            report.marks().stream()
                    .filter(mark -> (int) mark.second() == second.second())
                    .forEach(mark -> line(text, "  %6.1f %s", mark.second(), mark.fault()));
            line(
                    text,
                    "  %6d %7d %7d %8d %14d",
                    second.second(),
                    second.sent(),
                    second.served(),
                    second.refused(),
                    second.servedTokens());
        }
        return text.toString().stripTrailing();
    }

    private static void latency(StringBuilder text, String name, ReplayReport.Percentiles p) {
        line(
                text,
                "%s, ms: p50 %.1f, p95 %.1f, p99 %.1f, p99.9 %.1f, max %.1f",
                name,
                p.p50(),
                p.p95(),
                p.p99(),
                p.p999(),
                p.max());
    }

    private static void line(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
