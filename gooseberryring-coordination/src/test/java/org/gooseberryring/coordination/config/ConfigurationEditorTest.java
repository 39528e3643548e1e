package org.gooseberryring.coordination.config;

import java.util.List;
import java.util.stream.Stream;

import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.coordination.placement.ReplicaCount;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.SheetRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class ConfigurationEditorTest {
    private static final String DIGEST = "a".repeat(64);

    private final ConfigurationEditor editor = new ConfigurationEditor(new Planner());
    private final FleetConfiguration fleet = Fleets.fleet();

    static Stream<Arguments> refusedChanges() {
        Endpoint endpointWithHostName =
                new Endpoint("e9", EndpointKind.MODEL, "d1", "engine.local:80", 100, 8, true, false);
        return Stream.of(
                arguments(new Change.PutOrganisation(new Organisation("o", -1, 0, 1, null)), "rateTokensPerSecond"),
                arguments(new Change.PutOrganisation(new Organisation("o", 0, -1, 1, null)), "burstTokens"),
                arguments(new Change.PutOrganisation(new Organisation("a/b", 0, 0, 1, null)), "organisation.id"),
                arguments(new Change.IssueKey("12", "bank", "x"), "digest"),
                arguments(new Change.IssueKey("A".repeat(64), "bank", "x"), "digest"),
                arguments(new Change.IssueKey(DIGEST, "nobody", "x"), "organisation"),
                arguments(new Change.WithdrawKey(DIGEST), "digest"),
                arguments(new Change.RemoveOrganisation("nobody"), "id"),
                arguments(new Change.PutEndpoint(endpointWithHostName), "endpoint.address"),
                arguments(new Change.PutEndpoint(Fleets.engine("e9", "d9", 100, 9)), "endpoint.failureDomain"),
                arguments(new Change.PutEndpoint(Fleets.engine("e9", "d1", 100, 1)), "endpoint.address"),
                arguments(new Change.PutEndpoint(Fleets.engine("e9", "d1", -1, 9)), "endpoint.memoryBytes"),
                arguments(new Change.RemoveEndpoint("s1"), "id"),
                arguments(new Change.RemoveEndpoint("e1"), "id"),
                arguments(new Change.RemoveModel("m1"), "id"),
                arguments(new Change.PutModel(new Model("m3", 1, List.of("1", "1"), "1", null, true)), "versions[1]"),
                arguments(new Change.PutModel(new Model("m3", 1, List.of("1"), "2", null, true)), "inForce"),
                arguments(new Change.PutModel(new Model("m1", 1000, List.of("1"), "1", null, true)), "sheet[0]"),
                arguments(new Change.PutService(new ServiceRoute("s", List.of("e1"), null, null)), "endpoints[0]"),
                arguments(new Change.PutService(new ServiceRoute("s", List.of("e99"), null, null)), "endpoints[0]"),
                arguments(sheet(Fleets.row("m9", 1)), "rows[0].artifact"),
                arguments(sheet(Fleets.row("m1", 0)), "rows[0].replicas"),
                arguments(sheet(Fleets.row("m1", 1), Fleets.row("m1", 1)), "rows[1].artifact"),
                arguments(sheet(Fleets.row("m1", 1, "s1")), "rows[0].endpoints[0]"),
                arguments(sheet(Fleets.row("m1", 1, "e99")), "rows[0].endpoints[0]"),
                arguments(sheet(new SheetRow(new Artifact("m1", null, "9"), 1, null)), "rows[0].artifact"),
                arguments(sheet(new SheetRow(new Artifact("m1", "a", "1"), 1, null)), "rows[0].artifact"),
                arguments(sheet(Fleets.row("m2", 1), Fleets.row("m1", 7)), "rows[1]"),
                arguments(new Change.PutPlacements("e1", List.of(new Artifact("m1", "a", "1"))), "artifacts"),
                arguments(new Change.PutPlacements("s1", List.of()), "endpoint"));
    }

    /** Guards against an invalid change that is accepted or whose error does not report its location. */
    @ParameterizedTest
    @MethodSource("refusedChanges")
    void invalidChangeIsRefusedWithItsPath(Change change, String path) {
        EditResult result = editor.apply(fleet, List.of(change));

        assertThat(result).isInstanceOf(EditResult.Refused.class);
        List<ChangeError> faults = ((EditResult.Refused) result).faults();
        assertThat(faults.stream().map(ChangeError::path).anyMatch(p -> p.endsWith(path)))
                .isTrue();
    }

    /** Guards against a list of changes that is applied only in part. */
    @Test
    void oneInvalidChangeRefusesTheListAndAllErrorsAreReported() {
        EditResult result = editor.apply(
                fleet,
                List.of(
                        new Change.PutOrganisation(new Organisation("fine", 1, 1, 1, null)),
                        new Change.WithdrawKey(DIGEST),
                        new Change.RemoveModel("m9")));

        assertThat(((EditResult.Refused) result).faults().stream().map(ChangeError::path))
                .containsExactly("changes[1].digest", "changes[2].id");
    }

    /** Guards against a withdrawn key that becomes valid again, also if its organisation was removed. */
    @Test
    void withdrawnKeyNeverComesBack() {
        FleetConfiguration issued = apply(fleet, new Change.IssueKey(DIGEST, "bank", "x"));
        FleetConfiguration withdrawn = apply(issued, new Change.WithdrawKey(DIGEST));
        FleetConfiguration removed = apply(issued, new Change.RemoveOrganisation("bank"));

        assertThat(withdrawn.keys().get(DIGEST).withdrawn()).isTrue();
        assertThat(removed.keys().get(DIGEST).withdrawn()).isTrue();
        assertThat(editor.apply(withdrawn, List.of(new Change.IssueKey(DIGEST, "bank", "x"))))
                .isInstanceOf(EditResult.Refused.class);
        assertThat(withdrawn.revision()).isEqualTo(fleet.revision() + 2);
    }

    /** Guards against a model that becomes unreachable because its version in force is not in the sheet. */
    @Test
    void newVersionInForceReplacesTheRowOfTheOldOne() {
        Model m1 = fleet.models().get("m1");
        FleetConfiguration after =
                apply(fleet, new Change.PutModel(new Model("m1", m1.bytes(), m1.versions(), "2", m1.adapters(), true)));

        assertThat(ReplicaCount.of(after).get(new Artifact("m1", null, "2"))).isAtLeast(2);
        assertThat(ReplicaCount.of(after)).doesNotContainKey(new Artifact("m1", null, "1"));
    }

    /** Guards against a model without other replicas after an outage or while an endpoint is draining. */
    @Test
    void placementsAreAdaptedToAnOutageAndADrainingEndpoint() {
        FleetConfiguration outage = apply(fleet, new Change.SetFailureDomainIn("d1", false));
        FleetConfiguration draining = apply(outage, new Change.SetEndpointLeaving("e2", true));

        assertThat(ReplicaCount.of(draining).get(new Artifact("m1", null, "1"))).isAtLeast(2);
        assertThat(ReplicaCount.of(draining).get(new Artifact("m2", null, "1"))).isAtLeast(2);
        assertThat(draining.placements()).doesNotContainKey("e2");
        assertThat(draining.placements().get("e1")).isEqualTo(fleet.placements().get("e1"));
        assertThat(editor.apply(draining, List.of(new Change.RemoveEndpoint("e2"))))
                .isInstanceOf(EditResult.Accepted.class);
    }

    /** Guards against accepting host names, which need a name lookup, and against refusing IPv6 addresses. */
    @Test
    void onlyIpAddressesAreAccepted() {
        assertThat(Stream.of("10.0.0.1:80", "[::1]:8080", "[fe80::1:2]:1").allMatch(FormatValidator::isIpAndPort))
                .isTrue();
        assertThat(Stream.of("10.0.0.1", "10.0.0.256:1", "10.0.0.1:0", "host:80", "[::1::2]:1", "::1:80x", "")
                        .anyMatch(FormatValidator::isIpAndPort))
                .isFalse();
    }

    private FleetConfiguration apply(FleetConfiguration base, Change change) {
        EditResult result = editor.apply(base, List.of(change));
        assertThat(result).isInstanceOf(EditResult.Accepted.class);
        return ((EditResult.Accepted) result).configuration();
    }

    private static Change sheet(SheetRow... rows) {
        return new Change.ReplaceSheet(List.of(rows));
    }
}
