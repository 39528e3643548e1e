package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ModelEngineProtocolTest {
    private final ModelEngineProtocol protocol = new ModelEngineProtocol();

    /** Guards against a delayed duplicate response that is passed to the next caller because it has no request id. */
    @Test
    void reusesConnectionOnlyIfIdempotentAndRequestIdEchoed() {
        assertThat(protocol.mayReuse(call(EndpointCall.Kind.PLAIN_SERVICE, true)))
                .isFalse();
        assertThat(protocol.mayReuse(call(EndpointCall.Kind.MODEL_ENGINE, true)))
                .isTrue();
        assertThat(protocol.mayReuse(call(EndpointCall.Kind.MODEL_ENGINE, false)))
                .isFalse();
    }

    private static EndpointCall call(EndpointCall.Kind kind, boolean idempotent) {
        return new EndpointCall("id", "GET", "/", new HeaderMap(), new byte[0], kind, idempotent);
    }
}
