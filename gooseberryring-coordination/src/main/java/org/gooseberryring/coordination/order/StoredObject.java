package org.gooseberryring.coordination.order;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.retry.Backoff;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/**
 * One object of the store with at most one call in flight.
 *
 * <p>A write with an unknown outcome is resolved by its stamp. While the object still has the version that the write
 * expected, the same write is sent again, because the first may still be on its way.
 */
final class StoredObject<D extends StampedDocument> {
    private static final long MIN_RETRY_MILLIS = 100;

    /** Longest wait after failed calls for an object of which there are as many as endpoints. */
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final String key;
    private final Class<D> type;
    private final OrderCodec codec;
    private final Backoff backoff;
    private final Supplier<D> whenAbsent;
    private D doc;
    private long version;
    private long epoch;
    private long callEpoch;
    private boolean abandoned;
    private boolean known;
    private long knownAt;
    private D candidate;
    private long putSentAt;
    private StoreRequest inFlight;
    private long retryAt = Long.MAX_VALUE;

    /** What a reply means for the owner of the cell. */
    enum Event {
        /** Nothing yet. */
        NONE,
        /** The object was read. */
        READ,
        /** The write took effect and nothing has overwritten it. */
        WRITTEN,
        /** The write did not take effect, or was overwritten; the object must be read again. */
        LOST
    }

    StoredObject(String key, Class<D> type, Supplier<D> whenAbsent, OrderCodec codec, RandomGenerator random) {
        this(key, type, whenAbsent, codec, random, MAX_RETRY_MILLIS);
    }

    /** Creates an object with another longest wait after failed calls, in milliseconds. */
    StoredObject(
            String key,
            Class<D> type,
            Supplier<D> whenAbsent,
            OrderCodec codec,
            RandomGenerator random,
            long maxRetryMillis) {
        this.key = key;
        this.type = type;
        this.whenAbsent = whenAbsent;
        this.codec = codec;
        this.backoff = new Backoff(MIN_RETRY_MILLIS, maxRetryMillis, random);
    }

    /**
     * Notes that the store came back from an older copy: the known version says nothing any more, and a write without an
     * answer is given up, because its version may belong to another state now.
     */
    void restored(long newEpoch) {
        epoch = newEpoch;
        version = StoreRequest.Put.ABSENT;
        known = false;
        abandoned |= candidate != null;
        candidate = null;
    }

    /** Returns whether the document is known and no write is open. */
    boolean ready() {
        return known && candidate == null && inFlight == null;
    }

    boolean idle() {
        return inFlight == null && candidate == null && retryAt == Long.MAX_VALUE;
    }

    D doc() {
        return doc;
    }

    /** Returns the time at which the present document was received or written. */
    long knownAt() {
        return knownAt;
    }

    /** Returns the time at which the last write was first sent. */
    long putSentAt() {
        return putSentAt;
    }

    /** Reads the object unless a call is open. */
    List<OrderEffect> read() {
        return idle() ? send(new StoreRequest.Read(key)) : List.of();
    }

    /** Writes the document; the cell must be ready. */
    List<OrderEffect> put(D next, long now) {
        candidate = next;
        putSentAt = now;
        return send(put());
    }

    /** Sends a call whose retry is due. */
    List<OrderEffect> onTick(long now) {
        if (inFlight != null || now < retryAt) {
            return List.of();
        }
        retryAt = Long.MAX_VALUE;
        return send(new StoreRequest.Read(key));
    }

    /** Handles a reply; further calls are added to the effects. */
    Event onReply(StoreReply reply, long now, List<OrderEffect> effects) {
        boolean read = inFlight instanceof StoreRequest.Read;
        inFlight = null;
        if (reply.hasObjectState() && reply.epoch() > epoch) {
            restored(reply.epoch());
        }
        if (reply.hasObjectState() && reply.epoch() < epoch) {
            // The answer was given before the store came back from an older copy.
            retryLater(now);
            return Event.NONE;
        }
        if (!read && callEpoch != epoch) {
            // The write named a version of the earlier epoch, so its outcome is read back.
            retryAt = now;
            return Event.NONE;
        }
        if (read) {
            return onRead(reply, now, effects);
        }
        switch (reply.outcome()) {
            case OK:
                return written(reply.version(), now);
            case CONFLICT:
                effects.addAll(send(new StoreRequest.Read(key)));
                return Event.NONE;
            default:
                // Also after a certain failure, since an earlier copy of the write may have taken effect.
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
            // The read was answered from an older state; acting on it could undo what is known to be recorded.
            retryLater(now);
            return Event.NONE;
        }
        D readDoc = absent ? whenAbsent.get() : codec.decode(reply.value(), type);
        if (candidate != null && candidate.stamp().equals(readDoc.stamp())) {
            return written(readVersion, now);
        }
        if (candidate != null && readVersion == version) {
            effects.addAll(send(put()));
            return Event.NONE;
        }
        boolean lost = candidate != null || abandoned;
        candidate = null;
        abandoned = false;
        backoff.reset();
        doc = readDoc;
        version = readVersion;
        known = true;
        knownAt = now;
        return lost ? Event.LOST : Event.READ;
    }

    private Event written(long newVersion, long now) {
        doc = candidate;
        version = newVersion;
        candidate = null;
        backoff.reset();
        knownAt = now;
        return Event.WRITTEN;
    }

    private void retryLater(long now) {
        retryAt = now + backoff.next();
    }

    private StoreRequest put() {
        return new StoreRequest.Put(key, version, codec.encode(candidate));
    }

    private List<OrderEffect> send(StoreRequest request) {
        inFlight = request;
        callEpoch = epoch;
        return List.of(new OrderEffect.Call(request));
    }
}
