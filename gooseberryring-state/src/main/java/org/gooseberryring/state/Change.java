package org.gooseberryring.state;

import java.util.List;

/** Change of the configuration, requested by an operator or by the system itself. */
public sealed interface Change {
    /** Creates an organisation or replaces it. */
    record PutOrganisation(Organisation organisation) implements Change {}

    /** Removes an organisation and revokes its API keys. */
    record RemoveOrganisation(String id) implements Change {}

    /** Issues an API key, identified only by its SHA-256 digest in lower-case hexadecimal. */
    record IssueKey(String digest, String organisation, String label) implements Change {}

    /** Revokes an API key permanently. */
    record WithdrawKey(String digest) implements Change {}

    /** Creates or replaces a model with its adapters and versions. */
    record PutModel(Model model) implements Change {}

    /** Removes a model that no sheet row references. */
    record RemoveModel(String id) implements Change {}

    /** Creates a plain service or replaces it. */
    record PutService(ServiceRoute service) implements Change {}

    /** Removes a plain service. */
    record RemoveService(String id) implements Change {}

    /** Creates a failure domain or replaces it. */
    record PutFailureDomain(FailureDomain failureDomain) implements Change {}

    /** Takes a failure domain out of service or returns it to service. */
    record SetFailureDomainIn(String id, boolean in) implements Change {}

    /** Creates an endpoint or replaces it. */
    record PutEndpoint(Endpoint endpoint) implements Change {}

    /** Marks an endpoint as draining, or as active again. */
    record SetEndpointLeaving(String id, boolean leaving) implements Change {}

    /** Removes an endpoint that has no placement. */
    record RemoveEndpoint(String id) implements Change {}

    /** Replaces the sheet, from which the placements are derived. */
    record ReplaceSheet(List<SheetRow> rows) implements Change {
        public ReplaceSheet {
            rows = List.copyOf(rows);
        }
    }

    /** Replaces the placements of one endpoint; created by the system when demand shifts. */
    record PutPlacements(String endpoint, List<Artifact> artifacts) implements Change {
        public PutPlacements {
            artifacts = List.copyOf(artifacts);
        }
    }
}
