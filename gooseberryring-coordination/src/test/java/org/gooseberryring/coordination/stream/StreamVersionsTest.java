package org.gooseberryring.coordination.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryring.state.EndpointRegistration;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class StreamVersionsTest {
    /** Streams of a run that may hold events of several versions. */
    private static final int MAX_JOINED = 2;

    /** Number of streams from which the share that goes on counts. */
    private static final int MIN_TAKEN_UP = 12;

    private static final int HOSTS = 7;
    private static final int ENDPOINTS = 8;
    private static final int EVENTS = 14;
    private static final int ROUNDS = 8;
    private static final long DEADLINE = 20_000;

    /** Guards against streams that another version continues while endpoints, and hosts one by one, end. */
    @Property(tries = 60, seed = "3701", shrinking = ShrinkingMode.OFF)
    void brokenStreamsAreContinuedByTheirVersion(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int versions, @ForAll boolean manyHosts) {
        StreamWorld world = mixedWorld(seed, versions, manyHosts ? HOSTS : 2);
        Random random = new Random(seed);
        for (int i = 0; i < ROUNDS; i++) {
            world.run(200 + random.nextInt(2_000));
            if (random.nextInt(3) == 0) {
                world.kill(List.of(random.nextInt(world.hostCount())), 500 + random.nextInt(1_500));
            } else {
                world.breakStreams(any(world, random));
            }
        }
        world.run(5_000);

        check(world);
    }

    /** Guards against streams that another version continues because all hosts were killed since they began. */
    @Property(tries = 60, seed = "3702", shrinking = ShrinkingMode.OFF)
    void streamsAreContinuedByTheirVersionAfterAllHostsWereKilled(@ForAll long seed, @ForAll boolean oldHaveLeft) {
        StreamWorld world = oldWorld(seed, HOSTS);
        Random random = new Random(seed);
        for (int i = 0; i < ENDPOINTS / 2; i++) {
            world.replaceEndpoint("e" + i, "v2");
            world.run(400);
        }
        world.run(random.nextInt(5_000));
        if (oldHaveLeft) {
            for (int i = ENDPOINTS / 2; i < ENDPOINTS; i++) {
                world.removeEndpoint("e" + i);
            }
            world.run(300 + random.nextInt(1_000));
        }
        world.kill(IntStream.range(0, HOSTS).boxed().toList(), 500 + random.nextInt(1_000));
        world.run(10_000);

        assertThat(world.joined()).isAtMost(MAX_JOINED);
    }

    /** Guards against streams that another version continues at hosts that do not know how the registry has changed. */
    @Property(tries = 100, seed = "3703", shrinking = ShrinkingMode.OFF)
    void streamsAreContinuedByTheirVersionWhileHostsFreezeAndAreCutOff(
            @ForAll long seed, @ForAll boolean sameIdentifiers) {
        runWithFaults(seed, !sameIdentifiers, sameIdentifiers);
    }

    /** Guards against the same while endpoints start again under their identifiers and no host reads that in the store. */
    @Property(tries = 100, seed = "3705", shrinking = ShrinkingMode.OFF)
    void streamsAreContinuedByTheirVersionWhileIdentifiersAreReusedWithoutTheStore(@ForAll long seed) {
        runWithFaults(seed, true, true);
    }

    /** Guards against hosts that were cut off a moment ago and take the next process of an endpoint for the earlier one. */
    @Test
    void streamsAreContinuedByTheirVersionRightAfterHostsWereCutOff() {
        runWithFaults(13_986, false, true);
    }

    private static void runWithFaults(long seed, boolean storeFails, boolean sameIdentifiers) {
        StreamWorld world = oldWorld(seed, HOSTS);
        Random random = new Random(seed);
        for (int i = 0; i < ROUNDS; i++) {
            int host = random.nextInt(HOSTS);
            switch (random.nextInt(6)) {
                case 0 -> world.freeze(host, 300 + random.nextInt(4_000));
                case 1 -> world.cutOff(host, 300 + random.nextInt(6_000));
                case 2 -> world.kill(List.of(host), 500 + random.nextInt(1_000));
                case 3 -> world.setStoreDown(storeFails && random.nextBoolean());
                case 4 -> world.setStoreSlow(storeFails && random.nextBoolean());
                default -> world.breakStreams(any(world, random));
            }
            world.run(random.nextInt(1_000));
            if (i % 2 == 0) {
                String old = "e" + i / 2;
                if (sameIdentifiers) {
                    world.replaceEndpoint(old, "v2");
                } else {
                    world.removeEndpoint(old);
                    world.addEndpoint("n" + i, "v2");
                }
            }
            world.run(random.nextInt(1_000));
        }
        world.run(5_000);

        assertThat(world.joined()).isAtMost(MAX_JOINED);
    }

    /** Guards against a rejection of streams while only one version serves, whatever the store and the hosts do. */
    @Property(tries = 40, seed = "3704", shrinking = ShrinkingMode.OFF)
    void streamsOfTheOnlyVersionGoOnWithoutTheStore(@ForAll long seed) {
        StreamWorld world = oldWorld(seed, HOSTS);
        Random random = new Random(seed);
        world.setStoreDown(true);
        for (int i = 0; i < ROUNDS; i++) {
            world.run(500 + random.nextInt(1_000));
            world.breakStreams(any(world, random));
        }
        world.setStoreDown(false);
        world.run(5_000);
        for (int i = 0; i < ROUNDS; i++) {
            world.run(500 + random.nextInt(1_000));
            world.breakStreams(any(world, random));
        }
        world.run(5_000);

        check(world);
        assertThat(world.begun()).isAtLeast(100);
    }

    /** Guards against memory and writes that grow with the number of streams. */
    @Test
    void memoryIsBounded() {
        StreamVersions versions = new StreamVersions();
        versions.onRegistered(registration("e1", "v1"), 0);
        versions.onRegistered(registration("e2", "v2"), 0);
        for (int i = 1; i <= 2 * StreamVersions.MAX_STREAMS; i++) {
            versions.onBegan(new StreamReference(i, false), "s", "e1", "v1", DEADLINE, 10);
        }

        assertThat(versions.size()).isEqualTo(StreamVersions.MAX_STREAMS);
        versions.tick(DEADLINE + 1);
        assertThat(versions.size()).isEqualTo(0);
    }

    /** Guards against a stream without a known first request that counts as a stream of any version. */
    @Test
    void streamWithoutItsFirstRequestIsUnknownWhileVersionsAreMixed() {
        StreamVersions versions = currentVersions();
        StreamReference nameless = new StreamReference(StreamReference.UNKNOWN_KEY, true);
        versions.onRegistered(registration("e1", "v1"), 0);
        assertThat(versions.find(nameless, "s", 10)).isEqualTo("v1");

        versions.onRegistered(registration("e2", "v2"), 20);
        assertThat(versions.find(nameless, "s", 30)).isNull();

        versions.onRemoved("e1", 40);
        assertThat(versions.find(nameless, "s", 50)).isNull();
        assertThat(versions.find(nameless, "s", 100_000)).isEqualTo("v2");
    }

    /** Guards against two endpoints that state no version and count as one version beside others that state theirs. */
    @Test
    void endpointsWithoutAVersionContinueNoStreamBesideOthers() {
        StreamVersions versions = currentVersions();
        StreamReference stream = new StreamReference(7, false);
        versions.onRegistered(registration("e1", ""), 0);
        versions.onBegan(stream, "s", "e1", "", DEADLINE, 0);
        assertThat(versions.find(stream, "s", 10)).isEmpty();

        versions.onRegistered(registration("e2", "v2"), 20);

        assertThat(versions.find(stream, "s", 30)).isNull();
    }

    /** Guards against a version that changes between the request for a stream and its first response. */
    @Test
    void streamThatBeginsAfterAChangeOfItsEndpointIsOfNoVersion() {
        StreamVersions versions = currentVersions();
        StreamReference stream = new StreamReference(8, false);
        versions.onRegistered(registration("e1", "v1"), 0);
        versions.onRegistered(registration("e1", "v2"), 10);
        versions.onBegan(stream, "s", "e1", "v1", DEADLINE, 20);

        assertThat(versions.find(stream, "s", 30)).isNull();
    }

    /** Guards against two streams under one identifier, of which one is continued by the version of the other. */
    @Test
    void reusedIdentifierOfTwoVersionsIsOfNone() {
        StreamVersions versions = currentVersions();
        StreamReference stream = new StreamReference(7, false);
        versions.onBegan(stream, "s", "e1", "v1", DEADLINE, 0);
        versions.onBegan(stream, "s", "e2", "v2", DEADLINE, 10);

        assertThat(versions.find(stream, "s", 20)).isNull();
        assertThat(versions.isUncertain(stream, "s", 20)).isTrue();
    }

    /** Guards against a version that is read late, after the endpoint has begun streams under its identifier. */
    @Test
    void streamsOfAnEndpointWhoseVersionChangesAreOfNoVersion() {
        StreamVersions versions = currentVersions();
        versions.onRegistered(registration("e1", "v1"), 0);
        versions.onBegan(new StreamReference(1, false), "s", "e1", "v1", DEADLINE, 10);
        versions.onBegan(new StreamReference(2, false), "s", "e1", "v1", DEADLINE, 9_000);

        versions.onRegistered(registration("e1", "v2"), 9_100);

        assertThat(versions.find(new StreamReference(1, true), "s", 9_200)).isEqualTo("v1");
        assertThat(versions.find(new StreamReference(2, true), "s", 9_200)).isNull();
    }

    /** Guards against a host that was just started and does not know of the version that has just left. */
    @Test
    void startedHostTakesNoVersionForTheOnlyOneBeforeItHasReadTheStore() {
        StreamVersions versions = new StreamVersions();
        StreamReference stream = new StreamReference(5, true);
        versions.setRegistryCurrent(true);
        versions.onRegistered(registration("e1", "v2"), 0);
        assertThat(versions.find(stream, "s", 10)).isNull();

        StreamVersions other = currentVersions();
        other.onRegistered(registration("e0", "v1"), 0);
        other.onRegistered(registration("e1", "v2"), 0);
        other.onBegan(new StreamReference(4, false), "s", "e0", "v1", DEADLINE, 5);
        versions.onStored(other.table(10), false, 20);
        versions.onStoreRead();

        assertThat(versions.find(stream, "s", 30)).isNull();
        assertThat(versions.find(new StreamReference(4, true), "s", 30)).isEqualTo("v1");
    }

    private static void check(StreamWorld world) {
        assertThat(world.joined()).isAtMost(MAX_JOINED);
        if (world.takenUp() >= MIN_TAKEN_UP) {
            assertWithMessage("of %s taken up", world.takenUp())
                    .that(world.goneOn())
                    .isAtLeast(world.takenUp() / 2);
        }
    }

    /** Returns a world that has run for some seconds with one version. */
    private static StreamWorld oldWorld(long seed, int hosts) {
        StreamWorld world = new StreamWorld(hosts, 12, EVENTS, seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            world.addEndpoint("e" + i, "v1");
        }
        world.run(4_000);
        return world;
    }

    /** Returns a world whose endpoints have several versions, which came one after the other. */
    private static StreamWorld mixedWorld(long seed, int versions, int hosts) {
        StreamWorld world = oldWorld(seed, hosts);
        for (int i = 0; i < ENDPOINTS && versions > 1; i++) {
            if (i % versions > 0) {
                world.replaceEndpoint("e" + i, "v" + (1 + i % versions));
                world.run(200);
            }
        }
        return world;
    }

    private static String any(StreamWorld world, Random random) {
        List<String> ids = new ArrayList<>(world.endpoints());
        return ids.get(random.nextInt(ids.size()));
    }

    private static StreamVersions currentVersions() {
        StreamVersions versions = new StreamVersions();
        versions.setRegistryCurrent(true);
        versions.onStoreRead();
        return versions;
    }

    private static EndpointRegistration registration(String id, String version) {
        return new EndpointRegistration(id, "s", "10.0.0.1:80", "a", 4, false, 0, 1, List.of(), version);
    }
}
