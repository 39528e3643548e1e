package org.gooseberryring.ctl.replay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

import org.gooseberryring.ctl.sheet.SheetReader;
import org.gooseberryring.protocol.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class TraceGeneratorTest {
    /** Guards against traces that differ between runs, cannot be parsed, or use adapters of other models. */
    @ParameterizedTest
    @EnumSource
    void generatesReproducibleParsableTraceMatchingSheet(TraceProfile profile) {
        List<TraceLine> trace = new TraceGenerator(profile, 7, 60, 50).generate("b");
        byte[] text = trace.stream()
                .map(Json::writeString)
                .collect(Collectors.joining("\n"))
                .getBytes(StandardCharsets.UTF_8);
        List<String> rows =
                SheetReader.read(TraceFleet.sheet(profile, 2).getBytes(StandardCharsets.UTF_8)).rows().stream()
                        .map(row -> row.artifact().model() + row.artifact().adapter())
                        .toList();

        assertThat(new TraceGenerator(profile, 7, 60, 50).generate("b")).isEqualTo(trace);
        assertThat(TraceReader.read("trace", text)).isEqualTo(trace);
        assertThat(rows).hasSize(profile.models() + profile.adapters());
        assertThat(rows)
                .containsAtLeastElementsIn(trace.stream()
                        .filter(TraceLine::request)
                        .map(line -> line.model() + line.adapter())
                        .collect(Collectors.toSet()));
    }
}
