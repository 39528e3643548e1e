package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.ResidentModel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ResidencyControllerTest {
    /** Guards against endpoints ordered to hold more than they can, whatever becomes of orders and answers. */
    @Property(tries = 150, seed = "90210", shrinking = ShrinkingMode.OFF)
    void endpointsNeverHoldMoreThanTheyCan(@ForAll long seed) {
        ResidencyWorld world = new ResidencyWorld(seed, 0.3);
        world.run(60_000);
        assertWithMessage("orders carried out").that(world.ordersExecuted()).isAtLeast(5);
    }

    /** Guards against a model that is asked for and stays out of reach. */
    @Property(tries = 40, seed = "1717", shrinking = ShrinkingMode.OFF)
    void loadsAModelThatIsAskedFor(@ForAll long seed) {
        ResidencyWorld world = new ResidencyWorld(seed, 0);
        RequestTarget.RoutedTarget absent = new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m9", null);
        for (int i = 0; i < 400 && !world.isLoaded("m9"); i++) {
            world.request(absent);
            world.run(20);
        }
        assertThat(world.isLoaded("m9")).isTrue();
    }

    /** Guards against a model that every failure domain loads at once, since the one that should have loaded it did not. */
    @Test
    void aModelThatItsBestPlaceDoesNotLoadIsLoadedByOneOtherDomain() {
        List<String> full = List.of("m0", "m1", "m2");
        List<ResidentModel> loaded =
                full.stream().map(model -> new ResidentModel(model, Set.of())).toList();
        Map<String, ResidencyController> controllers = new TreeMap<>();
        for (String domain : List.of("a", "b")) {
            ResidencyController controller = new ResidencyController(domain);
            controller.onConfigurationChanged(ResidencyWorld.configuration());
            controller.onEndpointRegistered(ResidencyWorld.registration("e-a", "a", full));
            controller.onEndpointRegistered(ResidencyWorld.registration("e-b", "b", full));
            // It has room, but its controller is gone.
            controller.onEndpointRegistered(ResidencyWorld.registration("e-c", "c", List.of()));
            controllers.put(domain, controller);
        }
        RequestTarget.RoutedTarget requested = new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m9", null);
        Set<String> ordered = new TreeSet<>();
        for (long now = 0; now < 2_250; now += 50) {
            List<ResidencyEffect.Announce> announced = new ArrayList<>();
            for (ResidencyController controller : controllers.values()) {
                controller.onArtifactsRequested(List.of(requested), now);
                for (ResidencyEffect effect : controller.onTick(1, now)) {
                    if (effect instanceof ResidencyEffect.RequestStatus request) {
                        controller.onStatus(
                                new EndpointStatus(request.endpoint(), 0, false, loaded, List.of(), Set.of()), now);
                    } else if (effect instanceof ResidencyEffect.Announce announce) {
                        announced.add(announce);
                    } else if (effect instanceof ResidencyEffect.Send send) {
                        ordered.add(send.order().endpoint());
                    }
                }
            }
            controllers.values().forEach(controller -> announced.forEach(controller::onAnnouncement));
        }
        assertThat(ordered).hasSize(1);
    }

    /** Guards against an adapter that is never loaded because all places are taken by adapters nobody uses. */
    @Test
    void anIdleAdapterMakesRoomForAnother() {
        ResidencyWorld world = new ResidencyWorld(3, 0);
        for (int i = 1; i <= ResidencyWorld.ADAPTERS; i++) {
            RequestTarget.RoutedTarget adapter = new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", "a" + i);
            int steps = 0;
            while (!world.isLoaded("m0", "a" + i) && steps++ < 300) {
                world.request(adapter);
                world.run(20);
            }
            assertWithMessage("adapter a" + i)
                    .that(world.isLoaded("m0", "a" + i))
                    .isTrue();
        }
    }

    /** Guards against a request that waits for a status between two orders, which is some hundred milliseconds old. */
    @Test
    void anAdapterTakesThePlaceOfAnIdleOneAtOnce() {
        ResidencyWorld world = new ResidencyWorld(3, 0);
        for (int i = 1; i <= ResidencyWorld.ADAPTERS; i++) {
            world.run(1_500);
            String adapter = "a" + i;
            long requestedAt = world.now();
            while (!world.isAnnounced("m0", adapter) && world.now() - requestedAt < 5_000) {
                world.request(new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", adapter));
                world.run(20);
            }
            assertWithMessage("milliseconds until hosts know of adapter %s", adapter)
                    .that(world.now() - requestedAt)
                    .isAtMost(200);
        }
    }

    /** Guards against an endpoint that takes no orders since it waits for the requests of an adapter to be unloaded. */
    @Test
    void anAdapterWithRequestsInFlightIsNotUnloaded() {
        ResidencyWorld world = new ResidencyWorld(3, 0);
        RequestTarget.RoutedTarget running = new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", "a1");
        for (int i = 1; i <= ResidencyWorld.ADAPTER_SLOTS; i++) {
            world.request(new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", "a" + i));
            world.run(400);
        }
        world.keepRunning(running);
        world.run(500);
        // The others were asked for later than the one whose request still runs.
        for (int i = 2; i <= ResidencyWorld.ADAPTER_SLOTS; i++) {
            world.request(new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", "a" + i));
            world.run(800);
        }

        world.request(new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", "a9"));
        world.run(200);

        assertThat(world.isAnnounced("m0", "a9")).isTrue();
        assertThat(world.isLoaded("m0", "a1")).isTrue();
    }

    /** Guards against hosts that ask different endpoints for the same adapter, so that none has room for the others. */
    @Test
    void replicasOfAModelShareItsAdapters() {
        int[] perDomain = new int[2];
        for (int i = 0; i < 100; i++) {
            RequestTarget.RoutedTarget target = new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m0", "a" + i);
            Set<List<String>> results = new HashSet<>();
            for (String domain : List.of("a", "b", "c")) {
                ResidencyController controller = new ResidencyController(domain);
                controller.onConfigurationChanged(ResidencyWorld.configuration());
                controller.onEndpointRegistered(ResidencyWorld.registration("e0", "a", List.of("m0")));
                controller.onEndpointRegistered(ResidencyWorld.registration("e1", "b", List.of("m0")));
                results.add(controller.providers(target).domains());
            }
            assertThat(results).hasSize(1);
            perDomain[results.iterator().next().get(0).equals("a") ? 0 : 1]++;
        }
        assertThat(perDomain[0]).isAtLeast(30);
        assertThat(perDomain[1]).isAtLeast(30);
    }

    /** Guards against a model that is loaded and not used until the next status shows it. */
    @Test
    void aModelIsAnnouncedAsSoonAsItsEndpointRegistersIt() {
        for (int seed = 0; seed < 20; seed++) {
            ResidencyWorld world = new ResidencyWorld(seed, 0);
            world.run(10_000 + 20 * seed);
            RequestTarget.RoutedTarget absent = new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m9", null);
            long requestedAt = world.now();
            while (!world.isAnnounced("m9", null) && world.now() - requestedAt < 10_000) {
                world.request(absent);
                world.run(20);
            }
            assertWithMessage("milliseconds from the first request to the announcement, seed %s", seed)
                    .that(world.now() - requestedAt)
                    .isAtMost(ResidencyWorld.LOAD_MILLIS + 100);
        }
    }

    /** Guards against a model in demand that stays on one endpoint while others are idle. */
    @Test
    void aModelInDemandGetsFurtherReplicas() {
        ResidencyWorld world = new ResidencyWorld(5, 0);
        world.setDemand(Map.of(new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m1", null), 60_000.0));
        world.run(25_000);
        assertThat(world.replicas("m1")).isAtLeast(2);
        assertWithMessage("models that are still held")
                .that(world.loadedModels())
                .isAtLeast(ResidencyWorld.PLACED_MODELS - 1);
    }

    /** Guards against orders of a host that does not hold the lease. */
    @Test
    void sendsNothingWithoutTheLease() {
        ResidencyController controller = new ResidencyController("a");
        controller.onConfigurationChanged(ResidencyWorld.configuration());
        controller.onEndpointRegistered(ResidencyWorld.registration("e0", "a", List.of("m0")));
        controller.onArtifactsRequested(Set.of(new RequestTarget.RoutedTarget(ResidencyWorld.SERVICE, "m9", null)), 0);
        for (long now = 0; now < 5_000; now += 20) {
            assertThat(controller.onTick(0, now)).isEmpty();
        }
    }
}
