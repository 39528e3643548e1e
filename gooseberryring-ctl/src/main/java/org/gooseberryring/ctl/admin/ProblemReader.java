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

    /** Returns whether the refusal guarantees that the request was not executed. */
    static boolean isNotExecuted(AdminResponse response) {
        return Verdict.NOT_RUN.wireName().equals(read(response).path("verdict").asText());
    }

    /** Describes a refusal, with one line for each error in it. */
    public static String describe(AdminResponse response) {
        JsonNode problem = read(response);
        List<String> lines = new ArrayList<>();
        String code = problem.path("code").asText("");
        String detail = problem.path("detail").asText("");
        lines.add("status " + response.status()
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

    private static JsonNode read(AdminResponse response) {
        try {
            return Json.readTree(response.body());
        } catch (GooseberryringException e) {
            return Json.mapper().createObjectNode();
        }
    }
}
