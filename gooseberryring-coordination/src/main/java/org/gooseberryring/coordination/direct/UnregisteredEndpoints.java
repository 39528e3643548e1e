package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.ResidentModel;

/** Reports of other hosts on endpoints that are not registered on this host yet. */
final class UnregisteredEndpoints {
    /** Maximum number of endpoints of each kind of report. */
    private static final int MAX_ENDPOINTS = 256;

    private final Map<String, Map<String, EndpointUse>> uses = new HashMap<>();
    private final Map<String, List<ResidentModel>> models = new HashMap<>();

    /** Sets the use of an endpoint by the requests of another host. */
    void setUse(String endpoint, String host, EndpointUse use) {
        if (uses.size() < MAX_ENDPOINTS || uses.containsKey(endpoint)) {
            uses.computeIfAbsent(endpoint, key -> new HashMap<>()).put(host, use);
        }
    }

    /** Sets the loaded models of an endpoint that its controller reported. */
    void setModels(String endpoint, List<ResidentModel> reported) {
        if (models.size() < MAX_ENDPOINTS || models.containsKey(endpoint)) {
            models.put(endpoint, List.copyOf(reported));
        }
    }

    /** Removes the uses by a host. */
    void removeHost(String host) {
        uses.values().forEach(byHost -> byHost.remove(host));
        uses.values().removeIf(Map::isEmpty);
    }

    /** Removes and returns the uses of an endpoint by host. */
    Map<String, EndpointUse> takeUses(String endpoint) {
        Map<String, EndpointUse> taken = uses.remove(endpoint);
        return taken == null ? Map.of() : taken;
    }

    /** Removes and returns the loaded models of an endpoint, null if none were reported. */
    List<ResidentModel> takeModels(String endpoint) {
        return models.remove(endpoint);
    }
}
