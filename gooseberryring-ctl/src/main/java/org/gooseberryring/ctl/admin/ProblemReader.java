package org.gooseberryring.ctl.admin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.state.Verdict;

/** Reads refusals of the administration interface. */
public final class ProblemReader {
    private ProblemReader() {}

    /** Returns whether the refusal states that the request has not run. */
    static boolean notRun(AdminResponse answer) {
        return Verdict.NOT_RUN.wireName().equals(read(answer).path("verdict").asText());
    }

    /** Describes a refusal, with one line for each error that it names. */
    public static String describe(AdminResponse answer) {
        JsonNode problem = read(answer);
        List<String> lines = new ArrayList<>();
        String code = problem.path("code").asText("");
        String detail = problem.path("detail").asText("");
        lines.add("status " + answer.status()
                + (code.isEmpty() ? "" : " " + code)
                + (detail.isEmpty() ? "" : ": " + detail));
        lines.addAll(faults(problem));
        return String.join("\n", lines);
    }

    private static List<String> faults(JsonNode problem) {
        List<String> lines = new ArrayList<>();
        problem.path("faults")
                .forEach(fault -> lines.add("  " + fault.path("path").asText() + ": "
                        + fault.path("reason").asText()));
        return lines;
    }

    private static JsonNode read(AdminResponse answer) {
        try {
            return Json.readTree(answer.body());
        } catch (GooseberryringException e) {
            return Json.mapper().createObjectNode();
        }
    }
}
