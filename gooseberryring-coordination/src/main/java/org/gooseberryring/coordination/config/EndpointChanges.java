package org.gooseberryring.coordination.config;

import java.util.HashSet;
import java.util.List;

import org.gooseberryring.state.Change;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.SheetRow;

/** Applies changes of failure domains, endpoints and plain services. */
final class EndpointChanges {
    private static final String INVALID_ID_MESSAGE = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

    private EndpointChanges() {}

    static void putFailureDomain(MutableConfiguration configuration, Change.PutFailureDomain change) {
        FailureDomain domain = change.failureDomain();
        String path = configuration.path() + ".failureDomain";
        if (!configuration.check(domain != null, path, "is missing")
                || !configuration.check(FormatValidator.isId(domain.id()), path + ".id", INVALID_ID_MESSAGE)
                || !configuration.markChanged("failure domain", domain.id())) {
            return;
        }
        FailureDomain before = configuration.failureDomains().put(domain.id(), domain);
        if (before != null && before.in() != domain.in()) {
            configuration.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
    }

    static void setFailureDomainIn(MutableConfiguration configuration, Change.SetFailureDomainIn change) {
        FailureDomain domain =
                change.id() == null ? null : configuration.failureDomains().get(change.id());
        if (configuration.check(
                        domain != null,
                        configuration.path() + ".id",
                        "failure domain " + change.id() + " does not exist")
                && configuration.markChanged("failure domain", change.id())) {
            configuration
                    .failureDomains()
                    .put(domain.id(), new FailureDomain(domain.id(), domain.region(), change.in()));
            configuration.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
    }

    static void putEndpoint(MutableConfiguration configuration, Change.PutEndpoint change) {
        Endpoint e = change.endpoint();
        String path = configuration.path() + ".endpoint";
        if (!configuration.check(e != null, path, "is missing")
                || !configuration.check(FormatValidator.isId(e.id()), path + ".id", INVALID_ID_MESSAGE)
                || !configuration.markChanged("endpoint", e.id())) {
            return;
        }
        configuration.check(e.kind() != null, path + ".kind", "is missing");
        configuration.check(
                FormatValidator.isIpAndPort(e.address()), path + ".address", "must be an IP address and a port");
        configuration.check(e.memoryBytes() >= 0, path + ".memoryBytes", "must not be negative");
        configuration.check(e.maxConcurrency() >= 1, path + ".maxConcurrency", "must be at least 1");
        Endpoint before = configuration.endpoints().put(e.id(), e);
        if (before == null
                || before.memoryBytes() != e.memoryBytes()
                || before.leaving() != e.leaving()
                || !before.failureDomain().equals(e.failureDomain())) {
            configuration.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
        configuration.addReferenceCheck(() -> {
            configuration.check(
                    e.failureDomain() != null && configuration.failureDomains().containsKey(e.failureDomain()),
                    path + ".failureDomain",
                    "failure domain " + e.failureDomain() + " does not exist");
            checkAddressIsUnique(configuration, e, path);
            if (e.kind() != EndpointKind.SERVICE) {
                checkNoService(configuration, e.id(), path + ".kind");
            }
            if (e.kind() != EndpointKind.MODEL) {
                checkNoPlacement(configuration, e.id(), path + ".kind");
            }
        });
    }

    static void setLeaving(MutableConfiguration configuration, Change.SetEndpointLeaving change) {
        Endpoint e = change.id() == null ? null : configuration.endpoints().get(change.id());
        if (configuration.check(e != null, configuration.path() + ".id", "endpoint " + change.id() + " does not exist")
                && configuration.markChanged("endpoint", change.id())) {
            configuration
                    .endpoints()
                    .put(
                            e.id(),
                            new Endpoint(
                                    e.id(),
                                    e.kind(),
                                    e.failureDomain(),
                                    e.address(),
                                    e.memoryBytes(),
                                    e.maxConcurrency(),
                                    e.fencingEnforced(),
                                    change.leaving()));
            configuration.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
    }

    static void remove(MutableConfiguration configuration, Change.RemoveEndpoint change) {
        String path = configuration.path() + ".id";
        if (configuration.check(
                        change.id() != null && configuration.endpoints().containsKey(change.id()),
                        path,
                        "endpoint " + change.id() + " does not exist")
                && configuration.markChanged("endpoint", change.id())) {
            configuration.endpoints().remove(change.id());
            configuration.addReferenceCheck(() -> {
                checkNoService(configuration, change.id(), path);
                checkNoPlacement(configuration, change.id(), path);
            });
        }
    }

    static void putService(MutableConfiguration configuration, Change.PutService change) {
        ServiceRoute service = change.service();
        String path = configuration.path() + ".service";
        if (!configuration.check(service != null, path, "is missing")
                || !configuration.check(FormatValidator.isId(service.id()), path + ".id", INVALID_ID_MESSAGE)
                || !configuration.markChanged("service", service.id())) {
            return;
        }
        configuration.check(
                new HashSet<>(service.endpoints()).size() == service.endpoints().size(),
                path + ".endpoints",
                "lists an endpoint twice");
        configuration.services().put(service.id(), service);
        configuration.addReferenceCheck(() -> checkServiceEndpoints(configuration, service, path));
    }

    static void removeService(MutableConfiguration configuration, Change.RemoveService change) {
        if (configuration.check(
                        change.id() != null && configuration.services().containsKey(change.id()),
                        configuration.path() + ".id",
                        "service " + change.id() + " does not exist")
                && configuration.markChanged("service", change.id())) {
            configuration.services().remove(change.id());
        }
    }

    private static void checkServiceEndpoints(MutableConfiguration configuration, ServiceRoute service, String path) {
        List<String> ids = service.endpoints();
        for (int i = 0; i < ids.size(); i++) {
            Endpoint e = configuration.endpoints().get(ids.get(i));
            String at = path + ".endpoints[" + i + "]";
            if (configuration.check(e != null, at, "endpoint " + ids.get(i) + " does not exist")) {
                configuration.check(
                        e.kind() == EndpointKind.SERVICE, at, "endpoint " + e.id() + " is not a plain service");
            }
        }
    }

    /** Refuses two endpoints at one address, because the memory of one accelerator would count twice. */
    private static void checkAddressIsUnique(MutableConfiguration configuration, Endpoint e, String path) {
        for (Endpoint other : configuration.endpoints().values()) {
            if (!other.id().equals(e.id())
                    && other.address() != null
                    && other.address().equals(e.address())) {
                configuration.addFault(path + ".address", "endpoint " + other.id() + " has the same address");
                return;
            }
        }
    }

    private static void checkNoService(MutableConfiguration configuration, String endpoint, String path) {
        for (ServiceRoute service : configuration.services().values()) {
            configuration.check(!service.endpoints().contains(endpoint), path, "service " + service.id() + " uses it");
        }
    }

    private static void checkNoPlacement(MutableConfiguration configuration, String endpoint, String path) {
        List<?> placed = configuration.placements().getOrDefault(endpoint, List.of());
        configuration.check(placed.isEmpty(), path, "endpoint " + endpoint + " has placements " + placed);
        for (SheetRow row : configuration.sheet()) {
            configuration.check(
                    !row.endpoints().contains(endpoint), path, "the sheet pins " + row.artifact() + " to it");
        }
    }
}
