package org.gooseberryring.host.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.coordination.config.EditResult;
import org.gooseberryring.coordination.config.Fault;
import org.gooseberryring.state.ApiKey;
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

/** Applies the changes that a first fleet needs, without checks of references or memory. */
public final class SimpleEditor {
    private final SortedMap<String, Organisation> organisations;
    private final SortedMap<String, ApiKey> keys;
    private final SortedMap<String, Model> models;
    private final SortedMap<String, ServiceRoute> services;
    private final SortedMap<String, FailureDomain> domains;
    private final SortedMap<String, Endpoint> endpoints;
    private final SortedMap<String, List<Artifact>> placements;
    private final List<Fault> faults = new ArrayList<>();
    private List<SheetRow> sheet;

    private SimpleEditor(FleetConfiguration base) {
        organisations = new TreeMap<>(base.organisations());
        keys = new TreeMap<>(base.keys());
        models = new TreeMap<>(base.models());
        services = new TreeMap<>(base.services());
        domains = new TreeMap<>(base.failureDomains());
        endpoints = new TreeMap<>(base.endpoints());
        placements = new TreeMap<>(base.placements());
        sheet = base.sheet();
    }

    /** Applies changes in order, all or none. */
    public static EditResult apply(FleetConfiguration base, List<Change> changes) {
        SimpleEditor editor = new SimpleEditor(base);
        for (int i = 0; i < changes.size(); i++) {
            editor.apply("changes[" + i + "]", changes.get(i));
        }
        if (!editor.faults.isEmpty()) {
            return new EditResult.Refused(editor.faults);
        }
        return new EditResult.Accepted(new FleetConfiguration(
                base.revision() + 1,
                editor.organisations,
                editor.keys,
                editor.models,
                editor.services,
                editor.domains,
                editor.endpoints,
                editor.sheet,
                editor.placements));
    }

    private void apply(String path, Change change) {
        if (change instanceof Change.PutOrganisation put) {
            organisations.put(put.organisation().id(), put.organisation());
        } else if (change instanceof Change.IssueKey issue) {
            keys.putIfAbsent(issue.digest(), new ApiKey(issue.digest(), issue.organisation(), issue.label(), false));
        } else if (change instanceof Change.WithdrawKey withdraw) {
            keys.computeIfPresent(withdraw.digest(), (d, k) -> new ApiKey(d, k.organisation(), k.label(), true));
        } else if (change instanceof Change.PutModel put) {
            models.put(put.model().id(), put.model());
        } else if (change instanceof Change.PutService put) {
            services.put(put.service().id(), put.service());
        } else {
            applyToFleet(path, change);
        }
    }

    private void applyToFleet(String path, Change change) {
        if (change instanceof Change.PutFailureDomain put) {
            domains.put(put.failureDomain().id(), put.failureDomain());
        } else if (change instanceof Change.SetFailureDomainIn set) {
            domains.computeIfPresent(set.id(), (id, d) -> new FailureDomain(id, d.region(), set.in()));
        } else if (change instanceof Change.PutEndpoint put) {
            endpoints.put(put.endpoint().id(), put.endpoint());
        } else if (change instanceof Change.PutPlacements put) {
            placements.put(put.endpoint(), put.artifacts());
        } else if (change instanceof Change.ReplaceSheet replace) {
            sheet = replace.rows();
            place();
        } else {
            faults.add(new Fault(path, "this kind of change is not supported"));
        }
    }

    private void place() {
        placements.clear();
        List<String> engines = endpoints.values().stream()
                .filter(e -> e.kind() == EndpointKind.MODEL)
                .map(Endpoint::id)
                .toList();
        for (SheetRow row : sheet) {
            List<String> chosen = row.endpoints().isEmpty()
                    ? engines.subList(0, Math.min(row.replicas(), engines.size()))
                    : row.endpoints();
            for (String endpoint : chosen) {
                List<Artifact> artifacts = new ArrayList<>(placements.getOrDefault(endpoint, List.of()));
                artifacts.add(row.artifact());
                placements.put(endpoint, artifacts);
            }
        }
    }
}
