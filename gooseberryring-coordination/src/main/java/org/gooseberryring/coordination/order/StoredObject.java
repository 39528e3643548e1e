package org.gooseberryring.coordination.order;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.retry.Backoff;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/**
 * Client of one store object, with at most one call in flight.
 *
 * <p>A write with an unknown outcome is resolved by its stamp. While the object still has the version that the write
 * expected, the same write is sent again, because the first one may still be in transit.
 */
final class StoredObject<D extends StampedDocument> {
    private static final long MIN_RETRY_MILLIS = 100;

    /** Maximum delay after failed calls. It is long because there are as many of these objects as endpoints. */
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final String key;
    private final Class<D> type;
    private final OrderCodec codec;
    private final Backoff backoff;
    private final Supplier<D> defaultDocument;
    private D document;
    private long version;
    private long epoch;
    private long requestEpoch;
    private boolean writeAbandoned;
    private boolean synced;
    private long syncedAt;
    private D pendingWrite;
    private long putSentAt;
    private StoreRequest inFlight;
    private long retryAt = Long.MAX_VALUE;

    /** Meaning of a reply for the owner of the object. */
    enum Event {
        /** No result yet. */
        NONE,
        /** The object was read. */
        READ,
        /** The write took effect and has not been overwritten. */
        WRITTEN,
        /** The write did not take effect or was overwritten; the document is the one that was read afterwards. */
        LOST
    }

    StoredObject(String key, Class<D> type, Supplier<D> defaultDocument, OrderCodec codec, RandomGenerator random) {
        this(key, type, defaultDocument, codec, random, MAX_RETRY_MILLIS);
    }

    /** Creates an object with the given maximum delay after failed calls, in milliseconds. */
    StoredObject(
            String key,
            Class<D> type,
            Supplier<D> defaultDocument,
            OrderCodec codec,
            RandomGenerator random,
            long maxRetryMillis) {
        this.key = key;
        this.type = type;
        this.defaultDocument = defaultDocument;
        this.codec = codec;
        this.backoff = new Backoff(MIN_RETRY_MILLIS, maxRetryMillis, random);
    }

    /**
     * Handles a restore of the store from an older copy. The version is no longer valid, and a write without a reply is
     * abandoned, because its version may now belong to another state.
     */
    void onStoreRestored(long newEpoch) {
        epoch = newEpoch;
        version = StoreRequest.Put.ABSENT;
        synced = false;
        writeAbandoned |= pendingWrite != null;
        pendingWrite = null;
    }

    /** Returns whether the document is up to date and no write or call is in flight. */
    boolean isReady() {
        return synced && pendingWrite == null && inFlight == null;
    }

    boolean isIdle() {
        return inFlight == null && pendingWrite == null && retryAt == Long.MAX_VALUE;
    }

    D document() {
        return document;
    }

    /** Returns the time at which the current document was read, or at which its write was confirmed. */
    long syncedAt() {
        return syncedAt;
    }

    /** Returns the time at which the last write was first sent. */
    long putSentAt() {
        return putSentAt;
    }

    /** Reads the object unless a call or a retry is pending. */
    List<OrderEffect> read() {
        return isIdle() ? send(new StoreRequest.Read(key)) : List.of();
    }

    /** Writes the document; the object must be ready. */
    List<OrderEffect> put(D next, long now) {
        pendingWrite = next;
        putSentAt = now;
        return send(putRequest());
    }

    /** Sends a read if a retry is due. */
    List<OrderEffect> onTick(long now) {
        if (inFlight != null || now < retryAt) {
            return List.of();
        }
        retryAt = Long.MAX_VALUE;
        return send(new StoreRequest.Read(key));
    }

    /** Handles a reply and adds further calls to the effects. */
    Event onReply(StoreReply reply, long now, List<OrderEffect> effects) {
        boolean read = inFlight instanceof StoreRequest.Read;
        inFlight = null;
        if (reply.hasObjectState() && reply.epoch() > epoch) {
            onStoreRestored(reply.epoch());
        }
        if (reply.hasObjectState() && reply.epoch() < epoch) {
            // The store replied before it was restored from an older copy.
            retryLater(now);
            return Event.NONE;
        }
        if (!read && requestEpoch != epoch) {
            // The write expected a version of the earlier epoch, so its outcome is read back.
            retryAt = now;
            return Event.NONE;
        }
        if (read) {
            return onRead(reply, now, effects);
        }
        switch (reply.outcome()) {
            case OK:
                return completeWrite(reply.version(), now);
            case CONFLICT:
                effects.addAll(send(new StoreRequest.Read(key)));
                return Event.NONE;
            default:
                // Retries also after a definite failure, since an earlier copy of the write may have taken effect.
                retryLater(now);
                return Event.NONE;
        }
    }

    private Event onRead(StoreReply reply, long now, List<OrderEffect> effects) {
        if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
            retryLater(now);
            return Event.NONE;
        }
        boolean absent = reply.outcome() == StoreOutcome.ABSENT;
        long readVersion = absent ? StoreRequest.Put.ABSENT : reply.version();
        if (readVersion < version) {
            // The read returned an older state; acting on it could undo changes that are known to be recorded.
            retryLater(now);
            return Event.NONE;
        }
        D readDocument = absent ? defaultDocument.get() : codec.decode(reply.value(), type);
        if (pendingWrite != null && pendingWrite.stamp().equals(readDocument.stamp())) {
            return completeWrite(readVersion, now);
        }
        if (pendingWrite != null && readVersion == version) {
            effects.addAll(send(putRequest()));
            return Event.NONE;
        }
        boolean lost = pendingWrite != null || writeAbandoned;
        pendingWrite = null;
        writeAbandoned = false;
        backoff.reset();
        document = readDocument;
        version = readVersion;
        synced = true;
        syncedAt = now;
        return lost ? Event.LOST : Event.READ;
    }

    private Event completeWrite(long newVersion, long now) {
        document = pendingWrite;
        version = newVersion;
        pendingWrite = null;
        backoff.reset();
        syncedAt = now;
        return Event.WRITTEN;
    }

    private void retryLater(long now) {
        retryAt = now + backoff.next();
    }

    private StoreRequest putRequest() {
        return new StoreRequest.Put(key, version, codec.encode(pendingWrite));
    }

    private List<OrderEffect> send(StoreRequest request) {
        inFlight = request;
        requestEpoch = epoch;
        return List.of(new OrderEffect.Call(request));
    }
}
