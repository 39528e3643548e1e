package org.gooseberryring.host.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class JsonLimitUseCodecTest {
    private final JsonLimitUseCodec codec = new JsonLimitUseCodec();

    @Test
    void decodesWhatItEncodes() {
        Map<String, Long> excesses = Map.of("a", 57_500L, "b", 460_000L);

        assertThat(codec.decode(codec.encode(excesses))).isEqualTo(excesses);
    }

    /** Guards against a document of a later version, or of another writer, that stops a host from starting. */
    @Test
    void ignoresWhatItDoesNotKnow() {
        String document = "{\"later\":1,\"excesses\":[{\"organisation\":7,\"tokens\":1},{\"tokens\":2},5,"
                + "{\"organisation\":\"a\",\"tokens\":-3},{\"organisation\":\"b\",\"tokens\":4,\"more\":true}]}";

        assertThat(codec.decode(document.getBytes(StandardCharsets.UTF_8))).containsExactly("b", 4L);
    }
}
