package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.exchange.StateExchange;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.protocol.peer.PeerMessage;

/**
 * Passes what all hosts have used of the organisations' limits to processes that are heard for the first time. A process
 * that has just started cannot know it. A few hosts of each failure domain pass it.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class LimitHandover {
    /** Number of hosts of each failure domain that pass the use of the limits. */
    private static final int PASSING_HOSTS = 2;

    private final Map<String, Long> incarnations = new HashMap<>();
    private final StateExchange<?, ?> exchange;
    private final EntryRequests requests;
    private final ControlLoop control;
    private final BiConsumer<String, PeerMessage.Builder> sender;

    /** Creates a handover; {@code sender} sends a message to a host. */
    LimitHandover(
            StateExchange<?, ?> exchange,
            EntryRequests requests,
            ControlLoop control,
            BiConsumer<String, PeerMessage.Builder> sender) {
        this.exchange = exchange;
        this.requests = requests;
        this.control = control;
        this.sender = sender;
    }

    /** Handles an update of the state of another host's process. */
    void onUpdate(String host, long incarnation, long now) {
        Long before = incarnations.put(host, incarnation);
        boolean isNew = before == null || before != incarnation;
        if (isNew && exchange.isAmongFirst(PASSING_HOSTS, other -> !other.equals(host), now)) {
            requests.limitWindows(windows -> control.offer(at -> send(host, windows)));
        }
    }

    /** Handles that a host is no longer registered. */
    void onHostRemoved(String host) {
        incarnations.remove(host);
    }

    private void send(String host, Map<String, List<Long>> windows) {
        if (!windows.isEmpty()) {
            sender.accept(host, PeerMessage.newBuilder().setLimitWindows(PeerCodec.limitWindows(windows)));
        }
    }
}
