package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Artifact;

/**
 * Unloads artifacts that are no longer desired, without removing the last replica of a model.
 *
 * <p>An unload is first recorded in the ledger of its endpoint. Then the ledger of the witness, an endpoint with
 * another confirmed replica, is updated conditionally on the version in which no unload of that replica was recorded.
 * Of two controllers that rely on each other's replica, at least one finds the record of the other and does not send
 * its order.
 */
final class UnloadTasks {
    private final ControllerTerm term;
    private final Map<String, Task> tasks = new TreeMap<>();
    private final Map<String, StoredObject<LedgerDocument>> remoteLedgers = new TreeMap<>();

    UnloadTasks(ControllerTerm term) {
        this.term = term;
    }

    /** Step of an unload. */
    private enum Step {
        READ_WITNESS,
        PREPARE,
        VERIFY_WITNESS
    }

    private static final class Task {
        private final EndpointTracker tracker;
        private final Artifact artifact;
        private final long bytes;
        private final String witness;
        private final boolean isRemoteWitness;
        private final long startedAt;
        private Step step;
        private Order order;
        private long preparedAt;
        private boolean verifying;

        Task(
                EndpointTracker tracker,
                LoadedArtifact loadedArtifact,
                String witness,
                boolean isRemoteWitness,
                long startedAt) {
            this.tracker = tracker;
            this.artifact = loadedArtifact.artifact();
            this.bytes = loadedArtifact.bytes();
            this.witness = witness;
            this.isRemoteWitness = isRemoteWitness;
            this.startedAt = startedAt;
            this.step = isRemoteWitness ? Step.READ_WITNESS : Step.PREPARE;
        }
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>();
        for (StoredObject<LedgerDocument> storedLedger : remoteLedgers.values()) {
            effects.addAll(storedLedger.onTick(now));
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            if (now - task.startedAt > term.settings().sendWindowMillis() && !task.verifying) {
                // A recorded order that was not sent stays in the ledger until it can no longer arrive.
                tasks.remove(task.tracker.endpoint());
            } else {
                effects.addAll(advance(task, now));
            }
        }
        remoteLedgers
                .entrySet()
                .removeIf(f -> f.getValue().isIdle()
                        && tasks.values().stream().noneMatch(t -> t.isRemoteWitness && t.witness.equals(f.getKey())));
        for (EndpointTracker tracker : term.trackers().values()) {
            if (tracker.storedLedger().document() != null && !tasks.containsKey(tracker.endpoint())) {
                startUnload(tracker, now, effects);
            }
        }
        return effects;
    }

    /** Returns whether any unload is being prepared. */
    boolean isBusy() {
        return !tasks.isEmpty();
    }

    /** Handles the outcome of a call on the ledger of an endpoint of this failure domain. */
    void onLedgerEvent(EndpointTracker tracker, StoredObject.Event event, long now, List<OrderEffect> effects) {
        Task own = tasks.get(tracker.endpoint());
        if (own != null && own.step == Step.PREPARE && own.order != null) {
            if (event == StoredObject.Event.WRITTEN
                    && ReservationLedger.hasOrder(tracker.ledger(), own.artifact, Order.Action.UNLOAD)) {
                own.step = Step.VERIFY_WITNESS;
                effects.addAll(advance(own, now));
            } else if (event == StoredObject.Event.LOST) {
                tasks.remove(tracker.endpoint());
            }
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            if (!task.isRemoteWitness && task.verifying && task.witness.equals(tracker.endpoint())) {
                onWitnessVerified(task, event, now, effects);
            }
        }
    }

    /** Handles a reply if it is for a ledger of another failure domain; returns whether it was. */
    boolean onRemoteLedgerReply(StoreReply reply, long now, List<OrderEffect> effects) {
        for (Map.Entry<String, StoredObject<LedgerDocument>> entry : remoteLedgers.entrySet()) {
            if (!EndpointTracker.key(entry.getKey()).equals(reply.key())) {
                continue;
            }
            StoredObject.Event event = entry.getValue().onReply(reply, now, effects);
            for (Task task : new ArrayList<>(tasks.values())) {
                if (task.isRemoteWitness && task.witness.equals(entry.getKey())) {
                    onRemoteLedgerEvent(task, event, now, effects);
                }
            }
            return true;
        }
        return false;
    }

    private void onRemoteLedgerEvent(Task task, StoredObject.Event event, long now, List<OrderEffect> effects) {
        if (task.verifying) {
            onWitnessVerified(task, event, now, effects);
        } else if (event == StoredObject.Event.READ && task.step == Step.READ_WITNESS) {
            if (hasSubstitute(remoteLedgers.get(task.witness).document(), task.artifact)) {
                task.step = Step.PREPARE;
                effects.addAll(advance(task, now));
            } else {
                tasks.remove(task.tracker.endpoint());
            }
        }
    }

    /** Sends the order if the update proved that the ledger of the witness was current. */
    private void onWitnessVerified(Task task, StoredObject.Event event, long now, List<OrderEffect> effects) {
        if (event == StoredObject.Event.NONE) {
            return;
        }
        tasks.remove(task.tracker.endpoint());
        if (event == StoredObject.Event.WRITTEN
                && now - task.preparedAt <= term.settings().sendWindowMillis()) {
            effects.add(new OrderEffect.Send(task.tracker.endpoint(), task.order));
        }
    }

    private List<OrderEffect> advance(Task task, long now) {
        switch (task.step) {
            case READ_WITNESS:
                return remoteLedgers.get(task.witness).read();
            case PREPARE:
                if (task.order != null
                        || !task.tracker.isUsable()
                        || !ReservationLedger.isConfirmed(task.tracker.ledger(), task.artifact)
                        || !hasRequiredWitness(task)) {
                    return List.of();
                }
                task.order = new Order(term.nextOrderId(), Order.Action.UNLOAD, task.artifact, task.bytes);
                task.preparedAt = now;
                return task.tracker
                        .storedLedger()
                        .put(ReservationLedger.withOrder(task.tracker.ledger(), term.nextStamp(), task.order), now);
            default:
                return verifyWitness(task, now);
        }
    }

    private List<OrderEffect> verifyWitness(Task task, long now) {
        if (task.verifying) {
            return List.of();
        }
        if (task.witness == null) {
            tasks.remove(task.tracker.endpoint());
            return List.of(new OrderEffect.Send(task.tracker.endpoint(), task.order));
        }
        EndpointTracker own = term.trackers().get(task.witness);
        StoredObject<LedgerDocument> storedLedger =
                task.isRemoteWitness ? remoteLedgers.get(task.witness) : own == null ? null : own.storedLedger();
        if (storedLedger == null || !storedLedger.isReady() || !hasSubstitute(storedLedger.document(), task.artifact)) {
            return List.of();
        }
        task.verifying = true;
        return storedLedger.put(ReservationLedger.withStamp(storedLedger.document(), term.nextStamp()), now);
    }

    private boolean hasSubstitute(LedgerDocument ledger, Artifact artifact) {
        return ledger.loaded().stream()
                .anyMatch(entry -> term.desired().canSubstitute(entry.artifact(), artifact)
                        && ReservationLedger.isConfirmed(ledger, entry.artifact()));
    }

    private void startUnload(EndpointTracker tracker, long now, List<OrderEffect> effects) {
        for (LoadedArtifact loadedArtifact : tracker.ledger().loaded()) {
            Artifact a = loadedArtifact.artifact();
            long undesiredSince = tracker.undesiredSince(a, term.isDesired(tracker.endpoint(), a), now);
            if (term.isDesired(tracker.endpoint(), a)
                    || now - undesiredSince < term.settings().drainMillis()
                    || !tracker.isUsable()
                    || !tracker.isConfirmed(a)
                    || ReservationLedger.hasOrder(tracker.ledger(), a, Order.Action.LOAD)
                    || isRequiredByAdapters(tracker.ledger(), a)) {
                continue;
            }
            Task task = createTask(tracker, loadedArtifact, now);
            if (task != null) {
                tasks.put(tracker.endpoint(), task);
                effects.addAll(advance(task, now));
                return;
            }
        }
    }

    /** Creates a task with a witness if one is required; returns null if no witness is available now. */
    private Task createTask(EndpointTracker tracker, LoadedArtifact loadedArtifact, long now) {
        if (!term.desired().isNeeded(loadedArtifact.artifact())
                || hasLocalSubstitute(tracker, loadedArtifact.artifact())) {
            return new Task(tracker, loadedArtifact, null, false, now);
        }
        EndpointTracker own = term.findWitness(loadedArtifact.artifact(), tracker.endpoint());
        if (own != null) {
            return own.storedLedger().isReady() ? new Task(tracker, loadedArtifact, own.endpoint(), false, now) : null;
        }
        List<String> others = term.desired().remoteWitnesses(loadedArtifact.artifact());
        if (others.isEmpty()) {
            return null;
        }
        String witness = others.get(term.random().nextInt(others.size()));
        remoteLedgers.computeIfAbsent(
                witness,
                k -> new StoredObject<>(
                        EndpointTracker.key(k),
                        LedgerDocument.class,
                        () -> ReservationLedger.empty(k),
                        term.codec(),
                        term.random()));
        return new Task(tracker, loadedArtifact, witness, true, now);
    }

    /** Returns whether the task has a witness or still requires none. */
    private boolean hasRequiredWitness(Task task) {
        return task.witness != null
                || !term.desired().isNeeded(task.artifact)
                || hasLocalSubstitute(task.tracker, task.artifact);
    }

    /**
     * Returns whether another version on the same endpoint can substitute. The update that records the unload is
     * conditional on the same ledger, so no further proof is required.
     */
    private boolean hasLocalSubstitute(EndpointTracker tracker, Artifact artifact) {
        return tracker.ledger().loaded().stream()
                .anyMatch(entry -> !entry.artifact().equals(artifact)
                        && term.desired().canSubstitute(entry.artifact(), artifact)
                        && term.desired().isUsable(tracker.endpoint())
                        && tracker.isConfirmed(entry.artifact()));
    }

    private static boolean isRequiredByAdapters(LedgerDocument ledger, Artifact artifact) {
        if (artifact.adapter() != null) {
            return false;
        }
        boolean otherVersion = ledger.loaded().stream()
                .anyMatch(entry -> entry.artifact().adapter() == null
                        && entry.artifact().model().equals(artifact.model())
                        && !entry.artifact().equals(artifact));
        boolean adapters = ledger.loaded().stream().anyMatch(entry -> isAdapterOf(entry.artifact(), artifact))
                || ledger.orders().stream()
                        .anyMatch(o -> o.action() == Order.Action.LOAD && isAdapterOf(o.artifact(), artifact));
        return adapters && !otherVersion;
    }

    private static boolean isAdapterOf(Artifact adapter, Artifact model) {
        return adapter.adapter() != null && adapter.model().equals(model.model());
    }
}
