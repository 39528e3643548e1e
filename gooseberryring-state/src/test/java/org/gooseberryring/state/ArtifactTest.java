package org.gooseberryring.state;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ArtifactTest {
    /** Guards against plans that differ between hosts because the order of a model and its adapters is undefined. */
    @Test
    void modelSortsBeforeItsAdapters() {
        Artifact model = new Artifact("m", null, "2");
        Artifact adapter = new Artifact("m", "a", "1");

        assertThat(model).isLessThan(adapter);
        assertThat(adapter.toString()).isEqualTo("m:a@1");
    }
}
