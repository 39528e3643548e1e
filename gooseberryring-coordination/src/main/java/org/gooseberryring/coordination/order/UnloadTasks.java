package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Artifact;

/**
 * Unloads artifacts that the placements no longer name, without taking the last replica of a model.
 *
 * <p>An unload is first recorded in the ledger of its endpoint. Then the ledger of an endpoint with another confirmed
 * replica, the witness, is updated at the version in which no unload of that replica was recorded. Of two controllers
 * that rely on each other's replica, at least one finds the other's record and does not send its order.
 */
final class UnloadTasks {
    private final ControllerTerm term;
    private final Map<String, Task> tasks = new TreeMap<>();
    private final Map<String, StoredObject<LedgerDocument>> foreign = new TreeMap<>();

    UnloadTasks(ControllerTerm term) {
        this.term = term;
    }

    /** Step of an unload. */
    private enum Step {
        READ_WITNESS,
        PREPARE,
        TOUCH
    }

    private static final class Task {
        private final EndpointTracker track;
        private final Artifact artifact;
        private final long bytes;
        private final String witness;
        private final boolean foreignWitness;
        private final long startedAt;
        private Step step;
        private Order order;
        private long preparedAt;
        private boolean touching;

        Task(EndpointTracker track, LoadedArtifact held, String witness, boolean foreignWitness, long startedAt) {
            this.track = track;
            this.artifact = held.artifact();
            this.bytes = held.bytes();
            this.witness = witness;
            this.foreignWitness = foreignWitness;
            this.startedAt = startedAt;
            this.step = foreignWitness ? Step.READ_WITNESS : Step.PREPARE;
        }
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>();
        for (StoredObject<LedgerDocument> cell : foreign.values()) {
            effects.addAll(cell.onTick(now));
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            if (now - task.startedAt > term.settings().sendWindowMillis() && !task.touching) {
                // A recorded order that was not sent stays in the ledger until it cannot arrive.
                tasks.remove(task.track.endpoint());
            } else {
                effects.addAll(advance(task, now));
            }
        }
        foreign.entrySet()
                .removeIf(f -> f.getValue().idle()
                        && tasks.values().stream().noneMatch(t -> t.foreignWitness && t.witness.equals(f.getKey())));
        for (EndpointTracker track : term.tracks().values()) {
            if (track.cell().doc() != null && !tasks.containsKey(track.endpoint())) {
                start(track, now, effects);
            }
        }
        return effects;
    }

    /** Returns whether any unload is being prepared. */
    boolean busy() {
        return !tasks.isEmpty();
    }

    /** Handles the outcome of a call on the ledger of an endpoint of the own failure domain. */
    void onLedger(EndpointTracker track, StoredObject.Event event, long now, List<OrderEffect> effects) {
        Task own = tasks.get(track.endpoint());
        if (own != null && own.step == Step.PREPARE && own.order != null) {
            if (event == StoredObject.Event.WRITTEN
                    && ReservationLedger.hasOrder(track.ledger(), own.artifact, Order.Action.UNLOAD)) {
                own.step = Step.TOUCH;
                effects.addAll(advance(own, now));
            } else if (event == StoredObject.Event.LOST) {
                tasks.remove(track.endpoint());
            }
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            if (!task.foreignWitness && task.touching && task.witness.equals(track.endpoint())) {
                touched(task, event, now, effects);
            }
        }
    }

    /** Handles the reply to a call on the ledger of another failure domain; returns whether it was one. */
    boolean onForeignReply(StoreReply reply, long now, List<OrderEffect> effects) {
        for (Map.Entry<String, StoredObject<LedgerDocument>> entry : foreign.entrySet()) {
            if (!EndpointTracker.key(entry.getKey()).equals(reply.key())) {
                continue;
            }
            StoredObject.Event event = entry.getValue().onReply(reply, now, effects);
            for (Task task : new ArrayList<>(tasks.values())) {
                if (task.foreignWitness && task.witness.equals(entry.getKey())) {
                    onForeign(task, event, now, effects);
                }
            }
            return true;
        }
        return false;
    }

    private void onForeign(Task task, StoredObject.Event event, long now, List<OrderEffect> effects) {
        if (task.touching) {
            touched(task, event, now, effects);
        } else if (event == StoredObject.Event.READ && task.step == Step.READ_WITNESS) {
            if (standsIn(foreign.get(task.witness).doc(), task.artifact)) {
                task.step = Step.PREPARE;
                effects.addAll(advance(task, now));
            } else {
                tasks.remove(task.track.endpoint());
            }
        }
    }

    /** Sends the order once the witness was proven current. */
    private void touched(Task task, StoredObject.Event event, long now, List<OrderEffect> effects) {
        if (event == StoredObject.Event.NONE) {
            return;
        }
        tasks.remove(task.track.endpoint());
        if (event == StoredObject.Event.WRITTEN
                && now - task.preparedAt <= term.settings().sendWindowMillis()) {
            effects.add(new OrderEffect.Send(task.track.endpoint(), task.order));
        }
    }

    private List<OrderEffect> advance(Task task, long now) {
        switch (task.step) {
            case READ_WITNESS:
                return foreign.get(task.witness).read();
            case PREPARE:
                if (task.order != null
                        || !task.track.usable()
                        || !ReservationLedger.confirms(task.track.ledger(), task.artifact)
                        || !witnessed(task)) {
                    return List.of();
                }
                task.order = new Order(term.nextId(), Order.Action.UNLOAD, task.artifact, task.bytes);
                task.preparedAt = now;
                return task.track
                        .cell()
                        .put(ReservationLedger.with(task.track.ledger(), term.nextStamp(), task.order), now);
            default:
                return touch(task, now);
        }
    }

    private List<OrderEffect> touch(Task task, long now) {
        if (task.touching) {
            return List.of();
        }
        if (task.witness == null) {
            tasks.remove(task.track.endpoint());
            return List.of(new OrderEffect.Send(task.track.endpoint(), task.order));
        }
        EndpointTracker own = term.tracks().get(task.witness);
        StoredObject<LedgerDocument> cell =
                task.foreignWitness ? foreign.get(task.witness) : own == null ? null : own.cell();
        if (cell == null || !cell.ready() || !standsIn(cell.doc(), task.artifact)) {
            return List.of();
        }
        task.touching = true;
        return cell.put(ReservationLedger.touch(cell.doc(), term.nextStamp()), now);
    }

    private boolean standsIn(LedgerDocument ledger, Artifact artifact) {
        return ledger.loaded().stream()
                .anyMatch(h -> term.desired().standsIn(h.artifact(), artifact)
                        && ReservationLedger.confirms(ledger, h.artifact()));
    }

    private void start(EndpointTracker track, long now, List<OrderEffect> effects) {
        for (LoadedArtifact held : track.ledger().loaded()) {
            Artifact a = held.artifact();
            long since = track.unwantedSince(a, term.wants(track.endpoint(), a), now);
            if (term.wants(track.endpoint(), a)
                    || now - since < term.settings().drainMillis()
                    || !track.usable()
                    || !track.confirms(a)
                    || ReservationLedger.hasOrder(track.ledger(), a, Order.Action.LOAD)
                    || carriesAdapters(track.ledger(), a)) {
                continue;
            }
            Task task = choose(track, held, now);
            if (task != null) {
                tasks.put(track.endpoint(), task);
                effects.addAll(advance(task, now));
                return;
            }
        }
    }

    /** Chooses the witness; returns null if there is none now. */
    private Task choose(EndpointTracker track, LoadedArtifact held, long now) {
        if (!term.desired().needed(held.artifact()) || hasLocalStandIn(track, held.artifact())) {
            return new Task(track, held, null, false, now);
        }
        EndpointTracker own = term.witness(held.artifact(), track.endpoint());
        if (own != null) {
            return own.cell().ready() ? new Task(track, held, own.endpoint(), false, now) : null;
        }
        List<String> others = term.desired().foreignWitnesses(held.artifact());
        if (others.isEmpty()) {
            return null;
        }
        String witness = others.get(term.random().nextInt(others.size()));
        foreign.computeIfAbsent(
                witness,
                k -> new StoredObject<>(
                        EndpointTracker.key(k),
                        LedgerDocument.class,
                        () -> ReservationLedger.empty(k),
                        term.codec(),
                        term.random()));
        return new Task(track, held, witness, true, now);
    }

    /** Returns whether a task without a witness still needs none. */
    private boolean witnessed(Task task) {
        return task.witness != null
                || !term.desired().needed(task.artifact)
                || hasLocalStandIn(task.track, task.artifact);
    }

    /**
     * Returns whether another version on the same endpoint stands in. The update that records the unload is conditional
     * on the same ledger, so that no further proof is needed.
     */
    private boolean hasLocalStandIn(EndpointTracker track, Artifact artifact) {
        return track.ledger().loaded().stream()
                .anyMatch(h -> !h.artifact().equals(artifact)
                        && term.desired().standsIn(h.artifact(), artifact)
                        && term.desired().usable(track.endpoint())
                        && track.confirms(h.artifact()));
    }

    private static boolean carriesAdapters(LedgerDocument ledger, Artifact artifact) {
        if (artifact.adapter() != null) {
            return false;
        }
        boolean otherVersion = ledger.loaded().stream()
                .anyMatch(h -> h.artifact().adapter() == null
                        && h.artifact().model().equals(artifact.model())
                        && !h.artifact().equals(artifact));
        boolean adapters = ledger.loaded().stream().anyMatch(h -> isAdapterOf(h.artifact(), artifact))
                || ledger.orders().stream()
                        .anyMatch(o -> o.action() == Order.Action.LOAD && isAdapterOf(o.artifact(), artifact));
        return adapters && !otherVersion;
    }

    private static boolean isAdapterOf(Artifact adapter, Artifact model) {
        return adapter.adapter() != null && adapter.model().equals(model.model());
    }
}
