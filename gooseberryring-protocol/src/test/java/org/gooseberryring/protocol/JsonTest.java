package org.gooseberryring.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.gooseberryring.state.Change;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.GooseberryringException;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JsonTest {
    /** Guards against a configuration that a host writes and another host cannot read. */
    @Test
    void configurationSurvivesTheRoundTrip() {
        FleetConfiguration configuration = FleetConfiguration.empty();

        assertThat(Json.read(Json.write(configuration), FleetConfiguration.class))
                .isEqualTo(configuration);
    }

    /** Guards against changes that lose their kind in JSON. */
    @Test
    void changeCarriesItsType() {
        ChangeRequest request = new ChangeRequest("ann", "test", List.of(new Change.WithdrawKey("ab")));

        assertThat(Json.writeString(request)).contains("\"type\":\"withdraw-key\"");
        assertThat(Json.read(Json.write(request), ChangeRequest.class)).isEqualTo(request);
    }

    /** Guards against misspelt fields that are silently ignored. */
    @Test
    void unknownFieldIsRefused() {
        byte[] bytes = "{\"actor\":\"ann\",\"reason\":\"x\"}".getBytes(StandardCharsets.UTF_8);

        GooseberryringException e =
                assertThrows(GooseberryringException.class, () -> Json.read(bytes, ChangeRequest.class));

        assertThat(e.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        assertThat(e).hasMessageThat().contains("reason");
    }
}
