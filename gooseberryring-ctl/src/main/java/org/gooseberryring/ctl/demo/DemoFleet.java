package org.gooseberryring.ctl.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.ServiceRoute;

/** Configuration and sheet of the demonstration fleet. */
final class DemoFleet {
    static final List<String> DOMAINS = List.of("a", "b", "c");
    static final String ORGANISATION = "inkingi";
    static final String MODEL = "confirmations";
    static final String ADAPTER = "kigali";
    static final String SERVICE = "reorders";
    static final String SHEET = """
            model,adapter,version,replicas,endpoints
            confirmations,,1,3,
            confirmations,kigali,1,2,
            mandates,,1,2,
            """;
    private static final String REGION = "local";
    private static final String STATUS_PATH = "/status";
    private static final long ENGINE_BYTES = 80_000_000_000L;
    private static final long MODEL_BYTES = 30_000_000_000L;
    private static final long ADAPTER_BYTES = 400_000_000L;
    private static final int ENGINE_CONCURRENCY = 16;
    private static final int SERVICE_CONCURRENCY = 64;
    private static final long RATE = 20_000;
    private static final long BURST = 200_000;

    private DemoFleet() {}

    /**
     * Returns the changes that create the fleet.
     *
     * @param engines addresses of the model engines by identifier, {@code DOMAIN-...}
     * @param services addresses of the plain services by identifier, {@code DOMAIN-...}
     */
    static List<Change> changes(Map<String, String> engines, Map<String, String> services) {
        List<Change> changes = new ArrayList<>();
        DOMAINS.forEach(domain -> changes.add(new Change.PutFailureDomain(new FailureDomain(domain, REGION, true))));
        engines.forEach((id, address) -> changes.add(new Change.PutEndpoint(new Endpoint(
                id, EndpointKind.MODEL, domain(id), address, ENGINE_BYTES, ENGINE_CONCURRENCY, true, false))));
        services.forEach((id, address) -> changes.add(new Change.PutEndpoint(
                new Endpoint(id, EndpointKind.SERVICE, domain(id), address, 0, SERVICE_CONCURRENCY, false, false))));
        changes.add(new Change.PutService(
                new ServiceRoute(SERVICE, List.copyOf(services.keySet()), List.of(), List.of(STATUS_PATH))));
        changes.add(new Change.PutOrganisation(new Organisation(
                ORGANISATION, RATE, BURST, 1, List.of(PriorityClass.NORMAL, PriorityClass.HIGH, PriorityClass.BATCH))));
        List<Adapter> adapters = List.of(new Adapter(ADAPTER, ADAPTER_BYTES, "1"));
        changes.add(new Change.PutModel(new Model(MODEL, MODEL_BYTES, List.of("1"), "1", adapters, true)));
        changes.add(new Change.PutModel(new Model("mandates", MODEL_BYTES, List.of("1"), "1", List.of(), true)));
        return changes;
    }

    private static String domain(String endpoint) {
        return endpoint.substring(0, endpoint.indexOf('-'));
    }
}
