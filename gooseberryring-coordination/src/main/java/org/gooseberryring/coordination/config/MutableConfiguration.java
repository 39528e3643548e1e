package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.SheetRow;

/** Mutable copy of a configuration to which a list of changes is applied. */
final class MutableConfiguration {
    private final long revision;
    private final TreeMap<String, Organisation> organisations;
    private final TreeMap<String, ApiKey> keys;
    private final TreeMap<String, Model> models;
    private final TreeMap<String, ServiceRoute> services;
    private final TreeMap<String, FailureDomain> failureDomains;
    private final TreeMap<String, Endpoint> endpoints;
    private final TreeMap<String, List<Artifact>> placements;
    private final List<ChangeError> faults = new ArrayList<>();
    private final Set<String> changedObjects = new HashSet<>();
    private final List<Runnable> referenceChecks = new ArrayList<>();
    private List<SheetRow> sheet;
    private String path = "";
    private String sheetPath = "sheet";
    private Replan replan = Replan.NONE;

    /** Whether and how strictly the placements are computed again. */
    enum Replan {
        /** The placements are not changed. */
        NONE,
        /** The placements are adapted to an outage or a draining endpoint as far as memory allows. */
        BEST_EFFORT,
        /** The changes are refused if a row of the sheet does not fit. */
        STRICT
    }

    MutableConfiguration(FleetConfiguration base) {
        revision = base.revision();
        organisations = new TreeMap<>(base.organisations());
        keys = new TreeMap<>(base.keys());
        models = new TreeMap<>(base.models());
        services = new TreeMap<>(base.services());
        failureDomains = new TreeMap<>(base.failureDomains());
        endpoints = new TreeMap<>(base.endpoints());
        placements = new TreeMap<>(base.placements());
        sheet = base.sheet();
    }

    SortedMap<String, Organisation> organisations() {
        return organisations;
    }

    SortedMap<String, ApiKey> keys() {
        return keys;
    }

    SortedMap<String, Model> models() {
        return models;
    }

    SortedMap<String, ServiceRoute> services() {
        return services;
    }

    SortedMap<String, FailureDomain> failureDomains() {
        return failureDomains;
    }

    SortedMap<String, Endpoint> endpoints() {
        return endpoints;
    }

    SortedMap<String, List<Artifact>> placements() {
        return placements;
    }

    List<SheetRow> sheet() {
        return sheet;
    }

    void sheet(List<SheetRow> rows) {
        sheet = List.copyOf(rows);
    }

    /** Returns the path prefix of errors in sheet rows. */
    String sheetPath() {
        return sheetPath;
    }

    void sheetPath(String newPath) {
        sheetPath = newPath;
    }

    /** Returns the path of the current change. */
    String path() {
        return path;
    }

    void path(String newPath) {
        path = newPath;
    }

    Replan replan() {
        return replan;
    }

    /** Requests new placements; the strictest request applies. */
    void replan(Replan requested) {
        if (requested.compareTo(replan) > 0) {
            replan = requested;
        }
    }

    List<ChangeError> faults() {
        return faults;
    }

    void addFault(String faultPath, String reason) {
        faults.add(new ChangeError(faultPath, reason));
    }

    /** Records an error if the condition is false; returns the condition. */
    boolean check(boolean condition, String faultPath, String reason) {
        if (!condition) {
            addFault(faultPath, reason);
        }
        return condition;
    }

    /** Marks an object as changed; records an error if an earlier change of the same list changed it. */
    boolean markChanged(String kind, String id) {
        return check(changedObjects.add(kind + " " + id), path, kind + " " + id + " is changed twice in one list");
    }

    /** Adds a check to run after all changes are applied, so that references do not depend on the order of changes. */
    void addReferenceCheck(Runnable referenceCheck) {
        referenceChecks.add(referenceCheck);
    }

    void runReferenceChecks() {
        referenceChecks.forEach(Runnable::run);
    }

    FleetConfiguration toConfiguration() {
        return new FleetConfiguration(
                revision + 1, organisations, keys, models, services, failureDomains, endpoints, sheet, placements);
    }
}
