package org.gooseberryring.coordination.stream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.EndpointRegistration;

/**
 * Software versions that began streams, and those that may have begun a stream that this host does not know.
 *
 * <p>A host knows the streams that it began itself, those that other hosts report when they break off, and those that the
 * store has from hosts that ended. A stream that it does not know was begun by the only version in service, if there was no
 * other one while the stream can have begun; otherwise its version is unknown. All methods are called from one thread.
 */
public final class StreamVersions {
    /** Time after its deadline for which a stream may be taken up; a caller may allow more time for a further request. */
    public static final long TAKE_UP_MILLIS = 10_000;

    /** Limits memory to a few megabytes; the stream that was recorded first is evicted. */
    static final int MAX_STREAMS = 16_384;

    /** Time by which a change of an endpoint may be known late; streams that began within it may be of either version. */
    static final long REGISTRY_DELAY_MILLIS = 5_000;

    /** Longest lifetime of a stream while no configuration states one. */
    private static final long DEFAULT_STREAM_MILLIS = 60_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final Map<String, ServiceVersions> services = new HashMap<>();
    private final Map<String, String> serviceByEndpoint = new HashMap<>();
    private final Map<String, Long> brokenAt = new HashMap<>();
    private final LinkedHashMap<StreamId, Stream> streams = new LinkedHashMap<>();
    private long streamMillis = DEFAULT_STREAM_MILLIS;
    private boolean isStreamTimeSet;
    private long nextExpiryAt = Long.MIN_VALUE;
    private boolean registryCurrent;
    private boolean storeRead;

    private record StreamId(String service, long key) {}

    /**
     * Stream that may be taken up.
     *
     * @param version version that began it, null if it cannot be told
     * @param own whether this host began it
     * @param sender endpoint at which it began, null if that is not needed
     * @param expiresAt time after which its caller no longer takes it up
     */
    private record Stream(String version, boolean own, Sender sender, long expiresAt) {
        boolean isFrom(String endpoint, long since) {
            return sender != null && sender.endpoint().equals(endpoint) && sender.beganAt() >= since;
        }

        Stream uncertain() {
            return new Stream(null, own, null, expiresAt);
        }

        Stream withoutSender() {
            return new Stream(version, own, null, expiresAt);
        }
    }

    /**
     * Endpoint at which a stream began.
     *
     * @param beganAt time of its first response on this host
     * @param settled whether no connection to the endpoint broke shortly before, so that its process was the registered one
     */
    private record Sender(String endpoint, long beganAt, boolean settled) {}

    /** Sets the longest time for which the caller of a new stream waits for its end. */
    public void setStreamMillis(long millis) {
        // Streams that began before may last as long as was set then.
        streamMillis = isStreamTimeSet ? Math.max(streamMillis, millis) : millis;
        isStreamTimeSet = true;
    }

    /** Sets whether this host knows all endpoints that the other hosts know, but for the last seconds. */
    public void setRegistryCurrent(boolean current) {
        registryCurrent = current;
    }

    /** Adds or updates an endpoint. */
    public void onRegistered(EndpointRegistration registration, long now) {
        String endpoint = registration.id();
        String service = serviceByEndpoint.put(endpoint, registration.service());
        if (service != null && !service.equals(registration.service())) {
            leave(endpoint, service, now);
        }
        String before = service(registration.service()).register(endpoint, registration.softwareVersion());
        if (before != null && !before.equals(registration.softwareVersion())) {
            service(registration.service()).keep(before, now + retentionMillis());
            markUncertain(endpoint, now - REGISTRY_DELAY_MILLIS);
            brokenAt.remove(endpoint);
        }
    }

    /** Removes an endpoint permanently. */
    public void onRemoved(String endpoint, long now) {
        String service = serviceByEndpoint.remove(endpoint);
        brokenAt.remove(endpoint);
        if (service != null) {
            leave(endpoint, service, now);
        }
    }

    /**
     * Records a stream whose response has begun.
     *
     * @param endpoint endpoint that sends the stream
     * @param version software version of the endpoint when the request was sent
     * @param expiresAt time after which the caller no longer takes up the stream
     */
    public void onBegan(
            StreamReference stream, String service, String endpoint, String version, long expiresAt, long now) {
        if (stream.hasKey()) {
            Long lastBreak = brokenAt.get(endpoint);
            boolean settled = lastBreak == null || now - lastBreak > REGISTRY_DELAY_MILLIS;
            Stream began = new Stream(version, true, new Sender(endpoint, now, settled), expiresAt);
            boolean hasChanged = !service(service).hasVersion(endpoint, version);
            record(new StreamId(service, stream.key()), hasChanged ? began.uncertain() : began, now);
        }
    }

    /** Records that a stream broke off at an endpoint, whose process may have ended. */
    public void onBroken(StreamReference stream, String service, String endpoint, long now) {
        StreamId id = new StreamId(service, stream.key());
        Stream known = streams.get(id);
        if (known != null && known.sender() != null && known.sender().settled()) {
            // A later process of the endpoint has not begun it.
            streams.put(id, known.withoutSender());
        }
        brokenAt.put(endpoint, now);
    }

    /** Records a stream that broke off on another host. */
    public void onReported(StreamRecord reported, long now) {
        service(reported.service()).keep(reported.softwareVersion(), now + retentionMillis());
        record(
                new StreamId(reported.service(), reported.key()),
                new Stream(reported.softwareVersion(), false, null, now + reported.remainingMillis()),
                now);
    }

    /**
     * Records the streams that a host has written to the store.
     *
     * @param own whether this host has written them before it was restarted, so that it writes them again
     */
    public void onStored(StreamTable table, boolean own, long now) {
        table.services()
                .forEach((service, versions) -> versions.forEach((version, keys) -> {
                    service(service).keep(version, now + retentionMillis());
                    Stream stream = new Stream(version, own, null, now + retentionMillis());
                    keys.forEach(key -> record(new StreamId(service, key), stream, now));
                }));
    }

    /** Records that all streams in the store have been read since this host was started. */
    public void onStoreRead() {
        storeRead = true;
    }

    /**
     * Returns whether a stream may be continued by its version. While this host may lack changes of endpoints, another
     * process with another version may have the identifier or the address of an endpoint. Endpoints that state no version
     * have the same one only if no other endpoint of the service states any.
     */
    public boolean mayContinue(String version, String service, long now) {
        return registryCurrent && (!version.isEmpty() || !isMixed(service, now));
    }

    /** Returns the software version that must continue a stream which a caller takes up, null if none may. */
    public String find(StreamReference stream, String service, long now) {
        Stream known = known(stream, service, now);
        String version = known == null ? onlyVersion(service, now) : known.version();
        return version != null && mayContinue(version, service, now) ? version : null;
    }

    /** Returns the only version that can have begun streams which can still be taken up, null if there are several. */
    private String onlyVersion(String service, long now) {
        ServiceVersions versions = services.get(service);
        if (versions == null || !storeRead) {
            return null;
        }
        Set<String> possible = versions.possible(now);
        return possible.size() == 1 ? possible.iterator().next() : null;
    }

    /** Returns whether no report can tell any more which software version began a stream. */
    public boolean isUncertain(StreamReference stream, String service, long now) {
        Stream known = known(stream, service, now);
        return known != null && known.version() == null;
    }

    /** Returns whether several software versions serve a service, or did a short time ago. */
    public boolean isMixed(String service, long now) {
        ServiceVersions versions = services.get(service);
        return versions != null && versions.possible(now).size() > 1;
    }

    /** Returns the streams of this host that the store must have. */
    public StreamTable table(long now) {
        SortedMap<String, SortedMap<String, Set<Long>>> table = new TreeMap<>();
        services.forEach((service, versions) -> {
            Set<String> possible = versions.possible(now);
            if (possible.size() > 1) {
                SortedMap<String, Set<Long>> byVersion = new TreeMap<>();
                possible.forEach(version -> byVersion.put(version, new HashSet<>()));
                table.put(service, byVersion);
            }
        });
        if (table.isEmpty()) {
            return StreamTable.NONE;
        }
        streams.forEach((id, stream) -> {
            SortedMap<String, Set<Long>> byVersion = table.get(id.service());
            boolean isWritten = stream.own() && stream.version() != null;
            if (byVersion != null && isWritten && now <= stream.expiresAt()) {
                byVersion
                        .computeIfAbsent(stream.version(), version -> new HashSet<>())
                        .add(id.key());
            }
        });
        return new StreamTable(table);
    }

    /** Removes what is no longer needed; called several times a second. */
    public void tick(long now) {
        if (now < nextExpiryAt) {
            return;
        }
        nextExpiryAt = now + EXPIRY_INTERVAL_MILLIS;
        streams.values().removeIf(stream -> stream.expiresAt() < now);
        brokenAt.values().removeIf(at -> now - at > REGISTRY_DELAY_MILLIS);
        services.values().forEach(versions -> versions.expire(now));
        services.values().removeIf(ServiceVersions::isEmpty);
    }

    /** Returns the number of recorded streams. */
    int size() {
        return streams.size();
    }

    private Stream known(StreamReference stream, String service, long now) {
        Stream known = stream.hasKey() ? streams.get(new StreamId(service, stream.key())) : null;
        return known == null || known.expiresAt() < now ? null : known;
    }

    private void record(StreamId id, Stream stream, long now) {
        Stream before = streams.get(id);
        if (before == null || before.expiresAt() < now) {
            streams.remove(id);
            streams.put(id, stream);
        } else {
            streams.put(id, merge(before, stream));
        }
        if (streams.size() > MAX_STREAMS) {
            Iterator<Stream> oldest = streams.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Merges two records of a stream. Two versions under one key are two streams, which cannot be told apart. */
    private static Stream merge(Stream before, Stream later) {
        boolean agree = before.version() != null && before.version().equals(later.version());
        return new Stream(
                agree ? later.version() : null,
                before.own() || later.own(),
                later.sender() == null ? before.sender() : later.sender(),
                Math.max(before.expiresAt(), later.expiresAt()));
    }

    private void leave(String endpoint, String service, long now) {
        String version = service(service).remove(endpoint);
        if (version != null) {
            service(service).keep(version, now + retentionMillis());
        }
    }

    /** Marks the streams that began at an endpoint since a time, when it may have had its next version already. */
    private void markUncertain(String endpoint, long since) {
        streams.replaceAll((id, stream) -> stream.isFrom(endpoint, since) ? stream.uncertain() : stream);
    }

    /** Returns the time after the end of a version for which callers may take up its streams. */
    private long retentionMillis() {
        return streamMillis + REGISTRY_DELAY_MILLIS + TAKE_UP_MILLIS;
    }

    private ServiceVersions service(String service) {
        return services.computeIfAbsent(service, name -> new ServiceVersions());
    }
}
