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
    private static final String BAD_ID = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

    private EndpointChanges() {}

    static void putFailureDomain(MutableConfiguration draft, Change.PutFailureDomain change) {
        FailureDomain domain = change.failureDomain();
        String path = draft.path() + ".failureDomain";
        if (!draft.check(domain != null, path, "is missing")
                || !draft.check(FormatValidator.isId(domain.id()), path + ".id", BAD_ID)
                || !draft.touch("failure domain", domain.id())) {
            return;
        }
        FailureDomain before = draft.failureDomains().put(domain.id(), domain);
        if (before != null && before.in() != domain.in()) {
            draft.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
    }

    static void setFailureDomainIn(MutableConfiguration draft, Change.SetFailureDomainIn change) {
        FailureDomain domain =
                change.id() == null ? null : draft.failureDomains().get(change.id());
        if (draft.check(domain != null, draft.path() + ".id", "failure domain " + change.id() + " does not exist")
                && draft.touch("failure domain", change.id())) {
            draft.failureDomains().put(domain.id(), new FailureDomain(domain.id(), domain.region(), change.in()));
            draft.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
    }

    static void putEndpoint(MutableConfiguration draft, Change.PutEndpoint change) {
        Endpoint e = change.endpoint();
        String path = draft.path() + ".endpoint";
        if (!draft.check(e != null, path, "is missing")
                || !draft.check(FormatValidator.isId(e.id()), path + ".id", BAD_ID)
                || !draft.touch("endpoint", e.id())) {
            return;
        }
        draft.check(e.kind() != null, path + ".kind", "is missing");
        draft.check(FormatValidator.isIpAndPort(e.address()), path + ".address", "must be an IP address and a port");
        draft.check(e.memoryBytes() >= 0, path + ".memoryBytes", "must not be negative");
        draft.check(e.maxConcurrency() >= 1, path + ".maxConcurrency", "must be at least 1");
        Endpoint before = draft.endpoints().put(e.id(), e);
        if (before == null
                || before.memoryBytes() != e.memoryBytes()
                || before.leaving() != e.leaving()
                || !before.failureDomain().equals(e.failureDomain())) {
            draft.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
        draft.later(() -> {
            draft.check(
                    e.failureDomain() != null && draft.failureDomains().containsKey(e.failureDomain()),
                    path + ".failureDomain",
                    "failure domain " + e.failureDomain() + " does not exist");
            checkAddressIsUnique(draft, e, path);
            if (e.kind() != EndpointKind.SERVICE) {
                checkNoService(draft, e.id(), path + ".kind");
            }
            if (e.kind() != EndpointKind.MODEL) {
                checkNoPlacement(draft, e.id(), path + ".kind");
            }
        });
    }

    static void setLeaving(MutableConfiguration draft, Change.SetEndpointLeaving change) {
        Endpoint e = change.id() == null ? null : draft.endpoints().get(change.id());
        if (draft.check(e != null, draft.path() + ".id", "endpoint " + change.id() + " does not exist")
                && draft.touch("endpoint", change.id())) {
            draft.endpoints()
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
            draft.replan(MutableConfiguration.Replan.BEST_EFFORT);
        }
    }

    static void remove(MutableConfiguration draft, Change.RemoveEndpoint change) {
        String path = draft.path() + ".id";
        if (draft.check(
                        change.id() != null && draft.endpoints().containsKey(change.id()),
                        path,
                        "endpoint " + change.id() + " does not exist")
                && draft.touch("endpoint", change.id())) {
            draft.endpoints().remove(change.id());
            draft.later(() -> {
                checkNoService(draft, change.id(), path);
                checkNoPlacement(draft, change.id(), path);
            });
        }
    }

    static void putService(MutableConfiguration draft, Change.PutService change) {
        ServiceRoute service = change.service();
        String path = draft.path() + ".service";
        if (!draft.check(service != null, path, "is missing")
                || !draft.check(FormatValidator.isId(service.id()), path + ".id", BAD_ID)
                || !draft.touch("service", service.id())) {
            return;
        }
        draft.check(
                new HashSet<>(service.endpoints()).size() == service.endpoints().size(),
                path + ".endpoints",
                "names an endpoint twice");
        draft.services().put(service.id(), service);
        draft.later(() -> checkServiceEndpoints(draft, service, path));
    }

    static void removeService(MutableConfiguration draft, Change.RemoveService change) {
        if (draft.check(
                        change.id() != null && draft.services().containsKey(change.id()),
                        draft.path() + ".id",
                        "service " + change.id() + " does not exist")
                && draft.touch("service", change.id())) {
            draft.services().remove(change.id());
        }
    }

    private static void checkServiceEndpoints(MutableConfiguration draft, ServiceRoute service, String path) {
        List<String> ids = service.endpoints();
        for (int i = 0; i < ids.size(); i++) {
            Endpoint e = draft.endpoints().get(ids.get(i));
            String at = path + ".endpoints[" + i + "]";
            if (draft.check(e != null, at, "endpoint " + ids.get(i) + " does not exist")) {
                draft.check(e.kind() == EndpointKind.SERVICE, at, "endpoint " + e.id() + " is not a plain service");
            }
        }
    }

    /** Two endpoints at one address would make the memory of one accelerator count twice. */
    private static void checkAddressIsUnique(MutableConfiguration draft, Endpoint e, String path) {
        for (Endpoint other : draft.endpoints().values()) {
            if (!other.id().equals(e.id())
                    && other.address() != null
                    && other.address().equals(e.address())) {
                draft.fault(path + ".address", "endpoint " + other.id() + " has the same address");
                return;
            }
        }
    }

    private static void checkNoService(MutableConfiguration draft, String endpoint, String path) {
        for (ServiceRoute service : draft.services().values()) {
            draft.check(!service.endpoints().contains(endpoint), path, "service " + service.id() + " uses it");
        }
    }

    private static void checkNoPlacement(MutableConfiguration draft, String endpoint, String path) {
        List<?> held = draft.placements().getOrDefault(endpoint, List.of());
        draft.check(held.isEmpty(), path, "endpoint " + endpoint + " holds " + held);
        for (SheetRow row : draft.sheet()) {
            draft.check(!row.endpoints().contains(endpoint), path, "the sheet pins " + row.artifact() + " to it");
        }
    }
}
