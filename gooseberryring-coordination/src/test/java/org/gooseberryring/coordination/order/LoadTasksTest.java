package org.gooseberryring.coordination.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.SheetRow;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

class LoadTasksTest {
    private static final int MODELS = 100;
    private static final int SLOTS = 2;
    private static final List<String> DOMAINS = List.of("a", "b", "c", "d");
    private static final OrderSettings SETTINGS = OrderSettings.forWeightStore(2, SLOTS);

    private final MemoryOrderCodec codec = new MemoryOrderCodec();
    private final Map<String, byte[]> values = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, OrderController> controllers = new TreeMap<>();
    private final Map<String, Set<Artifact>> loaded = new TreeMap<>();
    private long now = 1;

    /** Guards against a failure domain whose loads never start because other domains acquire each released slot. */
    @Test
    void everyFailureDomainReceivesSlots() {
        start();

        run(60_000);

        int total = loaded.values().stream().mapToInt(Set::size).sum();
        assertWithMessage("loads in 60 s at 2 per second").that(total).isAtLeast(60);
        loaded.forEach((endpoint, artifacts) -> assertWithMessage("loads of " + endpoint + " of " + total)
                .that(artifacts.size())
                .isAtLeast(total / DOMAINS.size() / 2));
    }

    private void start() {
        TreeMap<String, Model> models = new TreeMap<>();
        List<Artifact> artifacts = new ArrayList<>();
        List<SheetRow> sheet = new ArrayList<>();
        for (int i = 0; i < MODELS; i++) {
            String id = "m" + i;
            models.put(id, new Model(id, 1, List.of("1"), "1", List.of(), true));
            artifacts.add(new Artifact(id, null, "1"));
            sheet.add(new SheetRow(new Artifact(id, null, "1"), DOMAINS.size(), null));
        }
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        TreeMap<String, Endpoint> endpoints = new TreeMap<>();
        TreeMap<String, List<Artifact>> placements = new TreeMap<>();
        for (String domain : DOMAINS) {
            domains.put(domain, new FailureDomain(domain, "r", true));
            endpoints.put(
                    domain, new Endpoint(domain, EndpointKind.MODEL, domain, "127.0.0.1:1", MODELS, 8, true, false));
            placements.put(domain, artifacts);
            loaded.put(domain, new HashSet<>());
        }
        FleetConfiguration configuration =
                new FleetConfiguration(1, null, null, models, null, domains, endpoints, sheet, placements);
        for (String domain : DOMAINS) {
            OrderController controller =
                    new OrderController("h-" + domain, domain, SETTINGS, codec, new Random(domain.hashCode()));
            controller.setCandidate(true);
            controller.onConfiguration(configuration, now);
            controllers.put(domain, controller);
        }
    }

    private void run(long millis) {
        long end = now + millis;
        while (now < end) {
            controllers.forEach((domain, controller) -> perform(controller, controller.onTick(now)));
            now += 50;
        }
    }

    private void perform(OrderController controller, List<OrderEffect> first) {
        Deque<OrderEffect> effects = new ArrayDeque<>(first);
        while (!effects.isEmpty()) {
            OrderEffect effect = effects.poll();
            if (effect instanceof OrderEffect.Call call) {
                effects.addAll(controller.onStoreReply(reply(call.request()), now));
            } else if (effect instanceof OrderEffect.Send sent) {
                loaded.get(sent.endpoint()).add(sent.order().artifact());
            } else if (effect instanceof OrderEffect.RequestReport reportRequest) {
                Set<Artifact> artifacts = loaded.get(reportRequest.endpoint());
                effects.addAll(controller.onReport(
                        new EndpointReport(reportRequest.endpoint(), 1, artifacts, Set.of(), artifacts.size(), now),
                        now));
            }
        }
    }

    private StoreReply reply(StoreRequest request) {
        String key = request.key();
        long version = versions.getOrDefault(key, StoreRequest.Put.ABSENT);
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != version) {
                return new StoreReply(key, StoreOutcome.CONFLICT, version, null);
            }
            values.put(key, put.value());
            versions.put(key, version + 1);
            return new StoreReply(key, StoreOutcome.OK, version + 1, null);
        }
        StoreOutcome outcome = version == 0 ? StoreOutcome.ABSENT : StoreOutcome.OK;
        return new StoreReply(key, outcome, version, values.get(key));
    }
}
