package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.PriorityClass;

/** Organisations, models and sheet required by a generated trace. */
final class TraceFleet {
    private static final long MODEL_BYTES = 8_000_000_000L;
    private static final long ADAPTER_BYTES = 100_000_000L;
    private static final String VERSION = "1";
    // The limits exceed the mean usage of an organisation, so that its bursts stay within its rate and burst.
    private static final double RATE_FACTOR = 1.5;
    private static final int BURST_SECONDS = 20;
    // Ratio of the mean to the median of the generated lengths.
    private static final double MEAN_LENGTH_FACTOR = 1.2;

    private TraceFleet() {}

    static List<Change> changes(TraceProfile profile, double requestsPerSecond) {
        List<Change> changes = new ArrayList<>();
        double tokens = requestsPerSecond * MEAN_LENGTH_FACTOR * (profile.promptTokens() + profile.outputTokens());
        for (int i = 0; i < profile.shares().size(); i++) {
            long rate = Math.round(tokens * profile.shares().get(i) * RATE_FACTOR);
            changes.add(new Change.PutOrganisation(new Organisation(
                    profile.organisation(i),
                    rate,
                    rate * BURST_SECONDS,
                    1,
                    List.of(PriorityClass.NORMAL, PriorityClass.HIGH, PriorityClass.BATCH))));
        }
        for (int model = 0; model < profile.models(); model++) {
            List<Adapter> adapters = new ArrayList<>();
            for (int i = model; i < profile.adapters(); i += profile.models()) {
                adapters.add(new Adapter(TraceProfile.adapter(i), ADAPTER_BYTES, VERSION));
            }
            changes.add(new Change.PutModel(
                    new Model(TraceProfile.model(model), MODEL_BYTES, List.of(VERSION), VERSION, adapters, true)));
        }
        return changes;
    }

    static String sheet(TraceProfile profile, int replicas) {
        StringBuilder rows = new StringBuilder("model,adapter,version,replicas,endpoints\n");
        for (int model = 0; model < profile.models(); model++) {
            rows.append(row(TraceProfile.model(model), "", replicas));
            for (int i = model; i < profile.adapters(); i += profile.models()) {
                rows.append(row(TraceProfile.model(model), TraceProfile.adapter(i), replicas));
            }
        }
        return rows.toString();
    }

    private static String row(String model, String adapter, int replicas) {
        return String.join(",", model, adapter, VERSION, Integer.toString(replicas), "") + "\n";
    }
}
