package org.gooseberryring.host.entry;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.Target;
import org.gooseberryring.host.engine.AttemptGate;

/** Hears from attempts which endpoints do not hold what requests need. */
final class EntryGate implements AttemptGate {
    /** Answer of an endpoint that is another one than expected or does not hold what the request needs. */
    private static final int MISDIRECTED = 421;

    private final BiConsumer<String, Target> lacks;

    /** Creates a gate; {@code lacks} takes the endpoint and what it does not hold. */
    EntryGate(BiConsumer<String, Target> lacks) {
        this.lacks = lacks;
    }

    @Override
    public BooleanSupplier mayStart(String endpoint) {
        return () -> true;
    }

    @Override
    public void attemptEnded(RequestSpec spec, String endpoint, AttemptOutcome outcome) {
        if (outcome.status() == MISDIRECTED) {
            lacks.accept(endpoint, spec.target());
        }
    }
}
