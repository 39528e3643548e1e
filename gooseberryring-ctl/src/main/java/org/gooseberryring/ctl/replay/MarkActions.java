package org.gooseberryring.ctl.replay;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.admin.AdminClient;
import org.gooseberryring.ctl.admin.ChangeSubmitter;
import org.gooseberryring.ctl.command.Context;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.state.Change;

/** Applies the operator changes named by the marks of a trace, without delaying the replay. */
final class MarkActions implements AutoCloseable {
    private static final String ACTOR = "replay";
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 60;

    private final Context context;
    private final ChangeSubmitter submitter;
    private final ExecutorService executor = Executors.newSingleThreadExecutor();

    /**
     * Creates the actions.
     *
     * @param client administration interface, or null to treat all marks as labels
     */
    MarkActions(Context context, AdminClient client) {
        this.context = context;
        this.submitter = client == null ? null : new ChangeSubmitter(client);
    }

    /** Submits the change that a mark names in the background; does nothing if the mark is only a label. */
    void accept(TraceLine mark) {
        Change change = parseChange(mark.fault());
        if (submitter != null && change != null) {
            executor.execute(() -> submit(mark, change));
        }
    }

    /** Returns the change named by a mark such as {@code domain-out:b}, or null if the mark is only a label. */
    static Change parseChange(String mark) {
        int colon = mark.indexOf(':');
        String id = mark.substring(colon + 1);
        return switch (colon < 0 ? "" : mark.substring(0, colon)) {
            case "domain-out" -> new Change.SetFailureDomainIn(id, false);
            case "domain-in" -> new Change.SetFailureDomainIn(id, true);
            case "endpoint-drain" -> new Change.SetEndpointLeaving(id, true);
            case "endpoint-activate" -> new Change.SetEndpointLeaving(id, false);
            default -> null;
        };
    }

    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submit(TraceLine mark, Change change) {
        ChangeRequest request = new ChangeRequest(ACTOR, "mark of a trace", List.of(change));
        try {
            long revision = submitter.submit(request, context.changeIdSupplier().get(), (before, now) -> true);
            context.console().printError("event=mark mark=" + mark.fault() + " revision=" + revision);
        } catch (CtlException e) {
            context.console()
                    .printError("event=mark-failed mark=" + mark.fault() + " reason=\"" + e.getMessage() + '"');
        }
    }
}
