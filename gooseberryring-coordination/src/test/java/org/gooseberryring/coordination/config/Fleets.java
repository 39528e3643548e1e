package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.SheetRow;

/** Small configurations for tests. */
public final class Fleets {
    private Fleets() {}

    /** Returns a model engine without placements. */
    public static Endpoint engine(String id, String domain, long memoryBytes, int number) {
        return new Endpoint(id, EndpointKind.MODEL, domain, "10.0.0." + number + ":8000", memoryBytes, 8, true, false);
    }

    /** Returns a model with version 1 in force, version 2 known, and one adapter of 5 bytes. */
    public static Model model(String id, long bytes) {
        return new Model(id, bytes, List.of("1", "2"), "1", List.of(new Adapter("a", 5, "1")), true);
    }

    /** Returns a row for version 1 of a model. */
    public static SheetRow row(String model, int replicas, String... endpoints) {
        return new SheetRow(new Artifact(model, null, "1"), replicas, List.of(endpoints));
    }

    /** Returns the changes that create the fleet of {@link #fleet()}. */
    public static List<Change> creation() {
        List<Change> changes = new ArrayList<>();
        for (String domain : List.of("d1", "d2", "d3")) {
            changes.add(new Change.PutFailureDomain(new FailureDomain(domain, "r1", true)));
        }
        for (int i = 1; i <= 6; i++) {
            changes.add(new Change.PutEndpoint(engine("e" + i, "d" + ((i - 1) % 3 + 1), 100, i)));
        }
        changes.add(new Change.PutEndpoint(
                new Endpoint("s1", EndpointKind.SERVICE, "d1", "10.0.1.1:80", 0, 8, false, false)));
        changes.add(new Change.PutService(new ServiceRoute("reorders", List.of("s1"), List.of(), List.of())));
        changes.add(new Change.PutModel(model("m1", 40)));
        changes.add(new Change.PutModel(model("m2", 30)));
        changes.add(new Change.PutOrganisation(new Organisation("bank", 100, 1000, 1, List.of())));
        changes.add(new Change.ReplaceSheet(List.of(row("m1", 2), row("m2", 2))));
        return changes;
    }

    /** Returns three failure domains with two engines of 100 bytes each, one service and two placed models. */
    public static FleetConfiguration fleet() {
        EditResult result = new ConfigurationEditor(new Planner()).apply(FleetConfiguration.empty(), creation());
        return ((EditResult.Accepted) result).configuration();
    }
}
