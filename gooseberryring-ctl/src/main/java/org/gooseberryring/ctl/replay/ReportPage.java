package org.gooseberryring.ctl.replay;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Renders the report of a replay as a self-contained HTML page. */
final class ReportPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 220;
    private static final int MARGIN = 50;
    private static final String HEAD = """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>Replay</title><style>
            body{font-family:sans-serif;margin:2em;max-width:60em}
            table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}
            svg{background:#fafafa}text{font-size:12px}
            </style></head><body><h1>Replay</h1>
            """;

    private ReportPage() {}

    static String render(ReplayReport report) {
        StringBuilder page = new StringBuilder(HEAD);
        String text = ReportText.render(report);
        page.append("<pre>")
                .append(escape(text.substring(0, text.indexOf("\n\n"))))
                .append("</pre>\n");
        page.append("<h2>Organisations</h2>\n").append(bars(report));
        page.append("<h2>Requests per second</h2>\n<p>sent (grey), served (green), refused (red)</p>\n");
        page.append(plot(
                report,
                List.of(
                        new Series("#888", ReplayReport.Second::sent),
                        new Series("#2a2", ReplayReport.Second::served),
                        new Series("#c22", ReplayReport.Second::refused))));
        page.append("<h2>Served tokens per second</h2>\n");
        page.append(plot(report, List.of(new Series("#226", ReplayReport.Second::servedTokens))));
        return page.append("</body></html>\n").toString();
    }

    private static String bars(ReplayReport report) {
        StringBuilder table = new StringBuilder("<table><tr><th>organisation</th><th>requests</th><th>served</th>"
                + "<th>refused within the rate</th><th>attainment</th><th></th></tr>\n");
        for (ReplayReport.OrganisationFigures o : report.organisations()) {
            table.append(format(
                    "<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%.4f</td><td><svg width=\"200\" height=\"12\">"
                            + "<rect width=\"%.1f\" height=\"12\" fill=\"#2a2\"/></svg></td></tr>%n",
                    escape(o.id()),
                    o.requests(),
                    o.served(),
                    o.refusedWithinRate(),
                    o.attainment(),
                    200 * o.attainment()));
        }
        return table.append("</table>\n").toString();
    }

    private static String plot(ReplayReport report, List<Series> series) {
        double top = 1;
        for (Series one : series) {
            top = Math.max(
                    top,
                    report.seconds().stream().mapToDouble(one.value()).max().orElse(0));
        }
        double step = (WIDTH - 2.0 * MARGIN) / Math.max(1, report.seconds().size());
        StringBuilder svg = new StringBuilder(format("<svg width=\"%d\" height=\"%d\">%n", WIDTH, HEIGHT));
        svg.append(format(
                "<line x1=\"%1$d\" y1=\"%2$d\" x2=\"%3$d\" y2=\"%2$d\" stroke=\"#000\"/>%n",
                MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN));
        svg.append(format(
                "<text x=\"2\" y=\"%d\">%.0f</text><text x=\"2\" y=\"%d\">0</text>%n", 20, top, HEIGHT - MARGIN));
        svg.append(format(
                "<text x=\"%d\" y=\"%d\">%d s</text>%n",
                WIDTH - MARGIN, HEIGHT - 30, report.seconds().size()));
        for (Series one : series) {
            svg.append(line(report, one, step, top));
        }
        for (ReplayReport.Mark mark : report.marks()) {
            double x = MARGIN + mark.second() * step;
            svg.append(format(
                    "<line x1=\"%1$.1f\" y1=\"10\" x2=\"%1$.1f\" y2=\"%2$d\" stroke=\"#c80\" stroke-dasharray=\"4\"/>"
                            + "<text x=\"%1$.1f\" y=\"%3$d\">%4$s</text>%n",
                    x, HEIGHT - MARGIN, HEIGHT - 15, escape(mark.fault())));
        }
        return svg.append("</svg>\n").toString();
    }

    private static String line(ReplayReport report, Series series, double step, double top) {
        StringBuilder points = new StringBuilder();
        for (ReplayReport.Second second : report.seconds()) {
            double x = MARGIN + (second.second() + 0.5) * step;
            double y = HEIGHT - MARGIN - series.value().applyAsDouble(second) / top * (HEIGHT - MARGIN - 20);
            points.append(format("%.1f,%.1f ", x, y));
        }
        return format("<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>%n", series.colour(), points);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    /** Line of a plot. */
    private record Series(String colour, ToDoubleFunction<ReplayReport.Second> value) {}
}
