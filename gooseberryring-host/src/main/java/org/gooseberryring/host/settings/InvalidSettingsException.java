package org.gooseberryring.host.settings;

import java.util.List;

/** Settings with faults, each of which names its place in the document. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /** Creates a failure from all faults that were found. */
    public InvalidSettingsException(List<String> faults) {
        super(String.join("; ", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}
