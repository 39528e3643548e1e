package org.gooseberryring.state;

import java.util.List;

/** Change of the configuration that an operator, or the system itself, asks for. */
public sealed interface Change {
    /** Creates an organisation or replaces it. */
    record PutOrganisation(Organisation organisation) implements Change {}

    /** Removes an organisation and withdraws its keys. */
    record RemoveOrganisation(String id) implements Change {}

    /** Issues a key, of which only the lower-case hexadecimal SHA-256 digest is given. */
    record IssueKey(String digest, String organisation, String label) implements Change {}

    /** Withdraws a key for ever. */
    record WithdrawKey(String digest) implements Change {}

    /** Creates a model with its adapters and versions or replaces it. */
    record PutModel(Model model) implements Change {}

    /** Removes a model that no sheet row names. */
    record RemoveModel(String id) implements Change {}

    /** Creates a plain service or replaces it. */
    record PutService(ServiceRoute service) implements Change {}

    /** Removes a plain service. */
    record RemoveService(String id) implements Change {}

    /** Creates a failure domain or replaces it. */
    record PutFailureDomain(FailureDomain failureDomain) implements Change {}

    /** Takes a failure domain out of service or brings it back. */
    record SetFailureDomainIn(String id, boolean in) implements Change {}

    /** Creates an endpoint or replaces it. */
    record PutEndpoint(Endpoint endpoint) implements Change {}

    /** Marks an endpoint as leaving, or as active again. */
    record SetEndpointLeaving(String id, boolean leaving) implements Change {}

    /** Removes an endpoint that holds no placement. */
    record RemoveEndpoint(String id) implements Change {}

    /** Replaces the sheet; the placements follow from it. */
    record ReplaceSheet(List<SheetRow> rows) implements Change {
        public ReplaceSheet {
            rows = List.copyOf(rows);
        }
    }

    /** Replaces the placements of one endpoint; made by the system when demand moves. */
    record PutPlacements(String endpoint, List<Artifact> artifacts) implements Change {
        public PutPlacements {
            artifacts = List.copyOf(artifacts);
        }
    }
}
