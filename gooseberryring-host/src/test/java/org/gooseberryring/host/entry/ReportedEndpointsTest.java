package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.HeldEndpoint;
import org.gooseberryring.state.ResidentModel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReportedEndpointsTest {
    private final List<String> changed = new ArrayList<>();
    private final List<String> repeated = new ArrayList<>();
    private final ReportedEndpoints reportedEndpoints = new ReportedEndpoints(
            new Controllers(), each -> changed.add(model(each)), each -> repeated.add(model(each)));

    /** Guards against an older report on an endpoint that arrives through the relays after a newer, direct one. */
    @Test
    void ignoresReportsThatAreNotNewerThanTheLastOne() {
        reportedEndpoints.onReport("d1", "h1", held("new", 3, 7), 0);
        reportedEndpoints.onReport("d1", "h1", held("old", 3, 6), 10);
        reportedEndpoints.onReport("d1", "h1", held("same", 3, 7), 20);
        assertThat(changed).containsExactly("new");
        reportedEndpoints.onReport("d1", "h2", held("next", 4, 1), 30);
        assertThat(changed).containsExactly("new", "next").inOrder();
    }

    /** Guards against repeating an older report instead of the newest one. */
    @Test
    void repeatsTheNewestReportOfTheCurrentController() {
        reportedEndpoints.onReport("d1", "h1", held("new", 3, 7), 0);
        reportedEndpoints.onReport("d1", "h1", held("old", 3, 6), 10);
        reportedEndpoints.repeat();
        assertThat(repeated).containsExactly("new");
        reportedEndpoints.onReport("d1", "h2", held("next", 4, 1), 30);
        reportedEndpoints.repeat();
        assertThat(repeated).containsExactly("new", "next").inOrder();
    }

    /** Guards against models of an earlier process of an endpoint that are applied to a later one. */
    @Test
    void doesNotRepeatReportsOfARemovedEndpoint() {
        reportedEndpoints.onReport("d1", "h1", held("new", 3, 7), 0);
        reportedEndpoints.remove("e1");
        reportedEndpoints.repeat();
        assertThat(repeated).isEmpty();
    }

    private static HeldEndpoint held(String model, long term, long revision) {
        ResidencyEffect.Announce endpoint =
                new ResidencyEffect.Announce("e1", 0, List.of(new ResidentModel(model, Set.of())), null);
        return PeerCodec.holding(term, revision, endpoint).getHolding();
    }

    private static String model(ResidencyEffect.Announce endpoint) {
        return endpoint.models().get(0).model();
    }
}
