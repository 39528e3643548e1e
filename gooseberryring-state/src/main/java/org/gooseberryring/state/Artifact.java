package org.gooseberryring.state;

/**
 * Loadable unit: a version of a model, or a version of an adapter of a model.
 *
 * @param model model identifier
 * @param adapter adapter identifier, or null for the model itself
 * @param version version of the model, or of the adapter if one is given
 */
public record Artifact(String model, String adapter, String version) implements Comparable<Artifact> {
    private static final String NO_ADAPTER = "";

    /** Orders artifacts by model, then the model itself before its adapters, then by version. */
    @Override
    public int compareTo(Artifact other) {
        int c = model.compareTo(other.model);
        if (c == 0) {
            c = adapterOrEmpty().compareTo(other.adapterOrEmpty());
        }
        return c == 0 ? version.compareTo(other.version) : c;
    }

    /** Returns {@code model[:adapter]@version}. */
    @Override
    public String toString() {
        return model + (adapter == null ? "" : ":" + adapter) + "@" + version;
    }

    private String adapterOrEmpty() {
        return adapter == null ? NO_ADAPTER : adapter;
    }
}
