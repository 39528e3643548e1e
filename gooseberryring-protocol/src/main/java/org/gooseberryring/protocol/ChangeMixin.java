package org.gooseberryring.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.gooseberryring.state.Change;

/** Maps the values of the JSON field {@code type} to the kinds of change. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Change.PutOrganisation.class, name = "put-organisation"),
    @JsonSubTypes.Type(value = Change.RemoveOrganisation.class, name = "remove-organisation"),
    @JsonSubTypes.Type(value = Change.IssueKey.class, name = "issue-key"),
    @JsonSubTypes.Type(value = Change.WithdrawKey.class, name = "withdraw-key"),
    @JsonSubTypes.Type(value = Change.PutModel.class, name = "put-model"),
    @JsonSubTypes.Type(value = Change.RemoveModel.class, name = "remove-model"),
    @JsonSubTypes.Type(value = Change.PutService.class, name = "put-service"),
    @JsonSubTypes.Type(value = Change.RemoveService.class, name = "remove-service"),
    @JsonSubTypes.Type(value = Change.PutFailureDomain.class, name = "put-failure-domain"),
    @JsonSubTypes.Type(value = Change.SetFailureDomainIn.class, name = "set-failure-domain-in"),
    @JsonSubTypes.Type(value = Change.PutEndpoint.class, name = "put-endpoint"),
    @JsonSubTypes.Type(value = Change.SetEndpointLeaving.class, name = "set-endpoint-leaving"),
    @JsonSubTypes.Type(value = Change.RemoveEndpoint.class, name = "remove-endpoint"),
    @JsonSubTypes.Type(value = Change.ReplaceSheet.class, name = "replace-sheet"),
    @JsonSubTypes.Type(value = Change.PutPlacements.class, name = "put-placements")
})
interface ChangeMixin {}
