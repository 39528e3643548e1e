package org.gooseberryring.host.config;

import java.util.List;

import org.gooseberryring.coordination.config.Fault;

/** What became of a change. */
public sealed interface ChangeOutcome {
    /** The change is in force with this revision. */
    record Applied(long revision) implements ChangeOutcome {}

    /** The configuration has another revision than the change names; nothing was changed. */
    record Conflict(long revision) implements ChangeOutcome {}

    /** The change is not acceptable; nothing was changed. */
    record Invalid(List<Fault> faults) implements ChangeOutcome {}

    /** The store could not be reached; nothing was changed. */
    record Unavailable() implements ChangeOutcome {}

    /** The change may be in force; asking again with the same change id resolves it. */
    record Unknown() implements ChangeOutcome {}
}
