package org.gooseberryring.coordination.placement;

import java.util.Map;

import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Model;

/** Looks up artifacts and their memory in the models of a configuration. */
public final class ArtifactCatalog {
    private final Map<String, Model> models;

    /** Creates a catalog of models by identifier. */
    public ArtifactCatalog(Map<String, Model> models) {
        this.models = models;
    }

    /** Returns whether the catalog contains this version of the model or adapter. */
    public boolean contains(Artifact artifact) {
        return bytesOrNegative(artifact) >= 0;
    }

    /**
     * Returns the accelerator memory of the artifact in bytes.
     *
     * @throws IllegalArgumentException if the catalog does not contain the artifact
     */
    public long bytes(Artifact artifact) {
        long bytes = bytesOrNegative(artifact);
        if (bytes < 0) {
            throw new IllegalArgumentException("Unknown artifact " + artifact);
        }
        return bytes;
    }

    private long bytesOrNegative(Artifact artifact) {
        Model model = artifact.model() == null ? null : models.get(artifact.model());
        if (model == null) {
            return -1;
        }
        if (artifact.adapter() == null) {
            return model.versions().contains(artifact.version()) ? model.bytes() : -1;
        }
        for (Adapter adapter : model.adapters()) {
            if (adapter.id().equals(artifact.adapter())) {
                return adapter.version().equals(artifact.version()) ? adapter.bytes() : -1;
            }
        }
        return -1;
    }
}
