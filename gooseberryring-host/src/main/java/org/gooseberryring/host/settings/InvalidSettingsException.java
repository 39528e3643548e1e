package org.gooseberryring.host.settings;

import java.util.List;

/** Thrown when settings are invalid; each fault contains its path in the document. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /** Creates an exception with all faults that were found. */
    public InvalidSettingsException(List<String> faults) {
        super(String.join("; ", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}
