package org.gooseberryring.coordination.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** What this host has sent to another one and heard of it. */
final class ExchangeLink {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Messages whose acknowledgement is waited for; the oldest ones tell whether a link is broken. */
    private static final int MAX_UNACKNOWLEDGED = 64;

    private final Map<String, Known> known = new HashMap<>();
    private final Deque<Sent> unacknowledged = new ArrayDeque<>();
    private long peerIncarnation;
    private long sentNumber;
    private long receivedNumber;
    private long sentAt = NEVER;
    private long heardAt = NEVER;
    private long subscribedAt = NEVER;
    private long triedSince = NEVER;
    private long changesSent = -1;
    private boolean mustRestart;
    private Set<String> wantedByPeer = Set.of();

    private record Known(long incarnation, long version) {}

    private record Sent(long number, long at) {}

    long heardAt() {
        return heardAt;
    }

    /** Returns when the peer last stated that it relies on this host. */
    long subscribedAt() {
        return subscribedAt;
    }

    long sentAt() {
        return sentAt;
    }

    /** Returns since when messages are sent without any answer yet. */
    long triedSince() {
        return triedSince;
    }

    Set<String> wantedByPeer() {
        return wantedByPeer;
    }

    /** Returns the number of the last message that arrived, 0 if there was none. */
    long receivedNumber() {
        return receivedNumber;
    }

    /** Returns whether the peer must send its whole state again, and notes that it is asked to. */
    boolean takeRestart() {
        boolean result = mustRestart;
        mustRestart = false;
        return result;
    }

    void askRestart() {
        mustRestart = true;
    }

    /** Returns whether the table has changed since the peer was last known to have all that concerns it. */
    boolean isBehind(long changes) {
        return changesSent != changes;
    }

    /** Notes that the peer has all that concerns it. */
    void caughtUp(long changes) {
        changesSent = changes;
    }

    /** Returns the version of a host's state that the peer has, 0 if it has none of this incarnation. */
    long knownVersion(String host, long incarnation) {
        Known version = known.get(host);
        return version == null || version.incarnation() != incarnation ? 0 : version.version();
    }

    /** Notes that the peer has a version of a host's state. */
    void knows(String host, long incarnation, long version) {
        if (version > knownVersion(host, incarnation)) {
            known.put(host, new Known(incarnation, version));
        }
    }

    /** Notes a message that is sent and returns its number. */
    long sent(long changes, long now) {
        sentNumber++;
        sentAt = now;
        changesSent = changes;
        triedSince = triedSince == NEVER ? now : triedSince;
        if (unacknowledged.size() < MAX_UNACKNOWLEDGED) {
            unacknowledged.add(new Sent(sentNumber, now));
        }
        return sentNumber;
    }

    /** Notes a message of the peer; returns false if it is older than one that arrived before. */
    boolean received(long incarnation, ExchangeMessage<?, ?> sync, long now) {
        if (incarnation != peerIncarnation) {
            forgetSent();
            peerIncarnation = incarnation;
            receivedNumber = 0;
        }
        if (sync.number() <= receivedNumber) {
            return false;
        }
        receivedNumber = sync.number();
        heardAt = now;
        subscribedAt = sync.subscribes() ? now : subscribedAt;
        wantedByPeer = sync.wantedDomains();
        while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= sync.acknowledged()) {
            unacknowledged.poll();
        }
        if (sync.restart()) {
            forgetSent();
        }
        return true;
    }

    /** Returns whether what was sent is not acknowledged although the peer is heard. */
    boolean isBroken(long acknowledgeMillis, long now) {
        boolean heard = now - heardAt <= acknowledgeMillis;
        return heard && !unacknowledged.isEmpty() && now - unacknowledged.peek().at() > acknowledgeMillis;
    }

    /** Forgets what was sent, so that everything is sent again. */
    void forgetSent() {
        known.clear();
        unacknowledged.clear();
        changesSent = -1;
    }

    /** Forgets which version of a host's state the peer has. */
    void forget(String host) {
        known.remove(host);
    }
}
