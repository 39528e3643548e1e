package org.gooseberryring.ctl.demo;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.config.ConfigurationEditor;
import org.gooseberryring.coordination.config.EditResult;
import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.ctl.sheet.SheetReader;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DemoFleetTest {
    /** Guards against a configuration or sheet of the demonstration that the hosts reject. */
    @Test
    void hostsAcceptConfigurationAndSheet() {
        List<Change> changes = new ArrayList<>(DemoFleet.changes(
                Map.of("a-engine-1", "127.0.0.1:1", "b-engine-1", "127.0.0.1:2", "c-engine-1", "127.0.0.1:3"),
                Map.of("a-desk", "127.0.0.1:4")));
        changes.add(new Change.ReplaceSheet(SheetReader.read(DemoFleet.SHEET.getBytes(StandardCharsets.UTF_8))
                .rows()));

        EditResult result = new ConfigurationEditor(new Planner()).apply(FleetConfiguration.empty(), changes);

        assertThat(result).isInstanceOf(EditResult.Accepted.class);
    }
}
