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

/** Applies administrative changes to a configuration, all or none. */
public final class ConfigurationEditor {
    private final Planner planner;
    private final Map<Class<? extends Change>, BiConsumer<MutableConfiguration, Change>> handlers = new HashMap<>();

    /** Creates an editor that computes placements with the given planner. */
    public ConfigurationEditor(Planner planner) {
        this.planner = planner;
        on(Change.PutOrganisation.class, OrganisationChanges::put);
        on(Change.RemoveOrganisation.class, OrganisationChanges::remove);
        on(Change.IssueKey.class, OrganisationChanges::issueKey);
        on(Change.WithdrawKey.class, OrganisationChanges::withdrawKey);
        on(Change.PutModel.class, ModelChanges::put);
        on(Change.RemoveModel.class, ModelChanges::remove);
        on(Change.PutService.class, EndpointChanges::putService);
        on(Change.RemoveService.class, EndpointChanges::removeService);
        on(Change.PutFailureDomain.class, EndpointChanges::putFailureDomain);
        on(Change.SetFailureDomainIn.class, EndpointChanges::setFailureDomainIn);
        on(Change.PutEndpoint.class, EndpointChanges::putEndpoint);
        on(Change.SetEndpointLeaving.class, EndpointChanges::setLeaving);
        on(Change.RemoveEndpoint.class, EndpointChanges::remove);
        on(Change.ReplaceSheet.class, SheetChanges::replaceSheet);
        on(Change.PutPlacements.class, SheetChanges::putPlacements);
    }

    /**
     * Applies changes in order.
     *
     * @param base configuration to change
     * @param changes changes; references are checked after the last one, so that they may point forward
     * @return the configuration with the next revision, or every fault that was found
     */
    public EditResult apply(FleetConfiguration base, List<Change> changes) {
        MutableConfiguration draft = new MutableConfiguration(base);
        draft.check(!changes.isEmpty(), "changes", "must not be empty");
        for (int i = 0; i < changes.size(); i++) {
            draft.path("changes[" + i + "]");
            Change change = changes.get(i);
            if (draft.check(change != null, draft.path(), "is missing")) {
                handlers.get(change.getClass()).accept(draft, change);
            }
        }
        if (draft.faults().isEmpty()) {
            draft.runReferenceChecks();
        }
        if (draft.faults().isEmpty() && draft.replan() != MutableConfiguration.Replan.NONE) {
            place(draft);
        } else if (draft.faults().isEmpty()) {
            checkReplicas(base, draft);
        }
        return draft.faults().isEmpty()
                ? new EditResult.Accepted(draft.toConfiguration())
                : new EditResult.Refused(draft.faults());
    }

    private <C extends Change> void on(Class<C> type, BiConsumer<MutableConfiguration, C> handler) {
        handlers.put(type, (draft, change) -> handler.accept(draft, type.cast(change)));
    }

    private void place(MutableConfiguration draft) {
        Plan plan = planner.plan(draft.toConfiguration());
        if (draft.replan() == MutableConfiguration.Replan.STRICT) {
            for (RowFault fault : plan.faults()) {
                draft.fault(draft.sheetPath() + "[" + fault.row() + "]", fault.reason());
            }
        }
        draft.placements().clear();
        draft.placements().putAll(plan.placements());
    }

    /** Refuses placements that take a row further below its number of replicas. */
    private static void checkReplicas(FleetConfiguration base, MutableConfiguration draft) {
        if (base.placements().equals(draft.placements())) {
            return;
        }
        Map<Artifact, Integer> before = ReplicaCount.of(base);
        Map<Artifact, Integer> after = ReplicaCount.of(draft.toConfiguration());
        for (SheetRow row : draft.sheet()) {
            Artifact a = row.artifact();
            int now = after.getOrDefault(a, 0);
            if (now < row.replicas() && now < before.getOrDefault(a, 0)) {
                draft.fault("changes", a + " would have " + now + " of " + row.replicas() + " replicas");
            }
        }
    }
}
