package org.gooseberryring.coordination.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.placement.Plan;
import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.coordination.placement.ReplicaCount;
import org.gooseberryring.coordination.placement.RowFault;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;

/** Applies administrative changes to a configuration atomically. */
public final class ConfigurationEditor {
    private final Planner planner;
    private final Map<Class<? extends Change>, BiConsumer<MutableConfiguration, Change>> handlers = new HashMap<>();

    /** Creates an editor that computes placements with the given planner. */
    public ConfigurationEditor(Planner planner) {
        this.planner = planner;
        register(Change.PutOrganisation.class, OrganisationChanges::put);
        register(Change.RemoveOrganisation.class, OrganisationChanges::remove);
        register(Change.IssueKey.class, OrganisationChanges::issueKey);
        register(Change.WithdrawKey.class, OrganisationChanges::withdrawKey);
        register(Change.PutModel.class, ModelChanges::put);
        register(Change.RemoveModel.class, ModelChanges::remove);
        register(Change.PutService.class, EndpointChanges::putService);
        register(Change.RemoveService.class, EndpointChanges::removeService);
        register(Change.PutFailureDomain.class, EndpointChanges::putFailureDomain);
        register(Change.SetFailureDomainIn.class, EndpointChanges::setFailureDomainIn);
        register(Change.PutEndpoint.class, EndpointChanges::putEndpoint);
        register(Change.SetEndpointLeaving.class, EndpointChanges::setLeaving);
        register(Change.RemoveEndpoint.class, EndpointChanges::remove);
        register(Change.ReplaceSheet.class, SheetChanges::replaceSheet);
        register(Change.PutPlacements.class, SheetChanges::putPlacements);
    }

    /**
     * Applies changes in order.
     *
     * @param base configuration to change
     * @param changes changes; references are checked after the last one, so a change may refer to a later one
     * @return the configuration with the next revision, or all errors that were found
     */
    public EditResult apply(FleetConfiguration base, List<Change> changes) {
        MutableConfiguration configuration = new MutableConfiguration(base);
        configuration.check(!changes.isEmpty(), "changes", "must not be empty");
        for (int i = 0; i < changes.size(); i++) {
            configuration.path("changes[" + i + "]");
            Change change = changes.get(i);
            if (configuration.check(change != null, configuration.path(), "is missing")) {
                handlers.get(change.getClass()).accept(configuration, change);
            }
        }
        if (configuration.faults().isEmpty()) {
            configuration.runReferenceChecks();
        }
        if (configuration.faults().isEmpty() && configuration.replan() != MutableConfiguration.Replan.NONE) {
            updatePlacements(configuration);
        } else if (configuration.faults().isEmpty()) {
            checkReplicaCounts(base, configuration);
        }
        return configuration.faults().isEmpty()
                ? new EditResult.Accepted(configuration.toConfiguration())
                : new EditResult.Refused(configuration.faults());
    }

    private <C extends Change> void register(Class<C> type, BiConsumer<MutableConfiguration, C> handler) {
        handlers.put(type, (configuration, change) -> handler.accept(configuration, type.cast(change)));
    }

    private void updatePlacements(MutableConfiguration configuration) {
        Plan plan = planner.plan(configuration.toConfiguration());
        if (configuration.replan() == MutableConfiguration.Replan.STRICT) {
            for (RowFault fault : plan.faults()) {
                configuration.addFault(configuration.sheetPath() + "[" + fault.row() + "]", fault.reason());
            }
        }
        configuration.placements().clear();
        configuration.placements().putAll(plan.placements());
    }

    /** Refuses placements that reduce the replicas of a row when it would then have fewer than it requires. */
    private static void checkReplicaCounts(FleetConfiguration base, MutableConfiguration configuration) {
        if (base.placements().equals(configuration.placements())) {
            return;
        }
        Map<Artifact, Integer> before = ReplicaCount.of(base);
        Map<Artifact, Integer> after = ReplicaCount.of(configuration.toConfiguration());
        for (SheetRow row : configuration.sheet()) {
            Artifact a = row.artifact();
            int count = after.getOrDefault(a, 0);
            if (count < row.replicas() && count < before.getOrDefault(a, 0)) {
                configuration.addFault(
                        "changes", a + " would have only " + count + " of " + row.replicas() + " required replicas");
            }
        }
    }
}
