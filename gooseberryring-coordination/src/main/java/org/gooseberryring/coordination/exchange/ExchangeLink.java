package org.gooseberryring.coordination.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** State of the message exchange with one other host: what was sent, acknowledged and received. */
final class ExchangeLink {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Maximum number of tracked unacknowledged messages; the oldest ones show whether a link is broken. */
    private static final int MAX_UNACKNOWLEDGED = 64;

    private final Map<String, KnownVersion> knownVersions = new HashMap<>();
    private final Deque<Sent> unacknowledged = new ArrayDeque<>();
    private long peerIncarnation;
    private long sentNumber;
    private long receivedNumber;
    private long sentAt = NEVER;
    private long lastReceivedAt = NEVER;
    private long subscribedAt = NEVER;
    private long firstSentAt = NEVER;
    private long changesAtLastSend = -1;
    private boolean restartRequested;
    private Set<String> requestedDomains = Set.of();

    private record KnownVersion(long incarnation, long version) {}

    private record Sent(long number, long at) {}

    long lastReceivedAt() {
        return lastReceivedAt;
    }

    /** Returns when the peer last subscribed to this host. */
    long subscribedAt() {
        return subscribedAt;
    }

    long sentAt() {
        return sentAt;
    }

    /** Returns when the first message was sent on this link. */
    long firstSentAt() {
        return firstSentAt;
    }

    Set<String> requestedDomains() {
        return requestedDomains;
    }

    /** Returns the number of the last received message, 0 if there was none. */
    long receivedNumber() {
        return receivedNumber;
    }

    /** Returns whether the peer must send its complete state again, and clears this request. */
    boolean takeRestartRequest() {
        boolean result = restartRequested;
        restartRequested = false;
        return result;
    }

    void requestRestart() {
        restartRequested = true;
    }

    /** Returns whether the table has changed since the peer was last up to date. */
    boolean isBehind(long changes) {
        return changesAtLastSend != changes;
    }

    /** Records that the peer has received everything in its scope. */
    void markUpToDate(long changes) {
        changesAtLastSend = changes;
    }

    /** Returns the version of a host's state that the peer has, 0 if it has no state of this incarnation. */
    long knownVersion(String host, long incarnation) {
        KnownVersion version = knownVersions.get(host);
        return version == null || version.incarnation() != incarnation ? 0 : version.version();
    }

    /** Records that the peer has a version of a host's state. */
    void recordKnownVersion(String host, long incarnation, long version) {
        if (version > knownVersion(host, incarnation)) {
            knownVersions.put(host, new KnownVersion(incarnation, version));
        }
    }

    /** Records that a message is sent and returns its number. */
    long recordSent(long changes, long now) {
        sentNumber++;
        sentAt = now;
        changesAtLastSend = changes;
        firstSentAt = firstSentAt == NEVER ? now : firstSentAt;
        if (unacknowledged.size() < MAX_UNACKNOWLEDGED) {
            unacknowledged.add(new Sent(sentNumber, now));
        }
        return sentNumber;
    }

    /** Records a message of the peer; returns false if a newer one was received before. */
    boolean recordReceived(long incarnation, ExchangeMessage<?, ?> sync, long now) {
        if (incarnation != peerIncarnation) {
            clearSent();
            peerIncarnation = incarnation;
            receivedNumber = 0;
        }
        if (sync.number() <= receivedNumber) {
            return false;
        }
        receivedNumber = sync.number();
        lastReceivedAt = now;
        subscribedAt = sync.subscribes() ? now : subscribedAt;
        requestedDomains = sync.wantedDomains();
        while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= sync.acknowledged()) {
            unacknowledged.poll();
        }
        if (sync.restart()) {
            clearSent();
        }
        return true;
    }

    /** Returns whether the peer does not acknowledge messages although messages of it still arrive. */
    boolean isBroken(long acknowledgeTimeoutMillis, long now) {
        boolean receiving = now - lastReceivedAt <= acknowledgeTimeoutMillis;
        return receiving
                && !unacknowledged.isEmpty()
                && now - unacknowledged.peek().at() > acknowledgeTimeoutMillis;
    }

    /** Clears the record of sent state, so that the complete state is sent again. */
    void clearSent() {
        knownVersions.clear();
        unacknowledged.clear();
        changesAtLastSend = -1;
    }

    /** Removes the record of the version of a host's state that the peer has. */
    void removeHost(String host) {
        knownVersions.remove(host);
    }
}
