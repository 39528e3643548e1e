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
    /** Guards against a serialized configuration that other hosts cannot parse. */
    @Test
    void configurationIsUnchangedAfterRoundTrip() {
        FleetConfiguration configuration = FleetConfiguration.empty();

        assertThat(Json.read(Json.write(configuration), FleetConfiguration.class))
                .isEqualTo(configuration);
    }

    /** Guards against changes whose kind is missing in JSON. */
    @Test
    void changeIsSerializedWithItsType() {
        ChangeRequest request = new ChangeRequest("ann", "test", List.of(new Change.WithdrawKey("ab")));

        assertThat(Json.writeString(request)).contains("\"type\":\"withdraw-key\"");
        assertThat(Json.read(Json.write(request), ChangeRequest.class)).isEqualTo(request);
    }

    /** Guards against misspelt fields that are silently ignored. */
    @Test
    void unknownFieldIsRejected() {
        byte[] bytes = "{\"actor\":\"ann\",\"reason\":\"x\"}".getBytes(StandardCharsets.UTF_8);

        GooseberryringException e =
                assertThrows(GooseberryringException.class, () -> Json.read(bytes, ChangeRequest.class));

        assertThat(e.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        assertThat(e).hasMessageThat().contains("reason");
    }
}
