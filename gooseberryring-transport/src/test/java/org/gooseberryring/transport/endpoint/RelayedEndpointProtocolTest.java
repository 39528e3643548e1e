package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RelayedEndpointProtocolTest {
    /** Guards against a stream that looks complete because the host of an earlier build that passed it on has stopped. */
    @Test
    void responseWithoutFramingIsNotComplete() {
        RelayedEndpointProtocol protocol = new RelayedEndpointProtocol(new LenientProtocol());
        EndpointCall call = new EndpointCall(
                "q", "POST", "/", new HeaderMap(), new byte[0], EndpointCall.Kind.PLAIN_SERVICE, false);

        assertThat(protocol.isComplete(call, 200, new HeaderMap(), new ResponseEnd(4, -1, false, false, false)))
                .isFalse();
        assertThat(protocol.isComplete(call, 200, new HeaderMap(), new ResponseEnd(4, -1, true, false, false)))
                .isTrue();
        assertThat(protocol.isComplete(call, 200, new HeaderMap(), new ResponseEnd(4, 4, false, false, false)))
                .isTrue();
    }

    /** Protocol whose endpoints may end a body with their connection. */
    private static final class LenientProtocol extends DelegatingEndpointProtocol {
        private LenientProtocol() {
            super(new ModelEngineProtocol());
        }

        @Override
        public boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end) {
            return true;
        }
    }
}
