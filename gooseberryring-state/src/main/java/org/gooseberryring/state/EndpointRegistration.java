package org.gooseberryring.state;

import java.util.List;

/**
 * Registration of an endpoint.
 *
 * @param id identifier of the endpoint as of this start; a restarted endpoint may have the same or another one
 * @param service service to which the endpoint belongs
 * @param address IP address and port, as {@code ip:port}
 * @param failureDomain failure domain in which the endpoint is located
 * @param slots maximum number of requests that it runs concurrently
 * @param leaving whether the endpoint is draining and accepts no new work
 * @param coldMillis duration of its cold phase from the registration, in milliseconds
 * @param bornMillis start time of the process in milliseconds since the Unix epoch, 0 if unknown
 * @param models models that it has loaded
 * @param softwareVersion version of the software of the process, empty if unknown
 */
public record EndpointRegistration(
        String id,
        String service,
        String address,
        String failureDomain,
        int slots,
        boolean leaving,
        long coldMillis,
        long bornMillis,
        List<ResidentModel> models,
        String softwareVersion) {
    public EndpointRegistration {
        models = List.copyOf(models);
    }

    /** Creates the registration of an endpoint whose software version is unknown. */
    public EndpointRegistration(
            String id,
            String service,
            String address,
            String failureDomain,
            int slots,
            boolean leaving,
            long coldMillis,
            long bornMillis,
            List<ResidentModel> models) {
        this(id, service, address, failureDomain, slots, leaving, coldMillis, bornMillis, models, "");
    }

    /** Returns the process that registered. */
    public EndpointProcess process() {
        return new EndpointProcess(id, bornMillis);
    }

    /** Returns a copy of this registration that is marked as draining. */
    public EndpointRegistration asLeaving() {
        return new EndpointRegistration(
                id, service, address, failureDomain, slots, true, coldMillis, bornMillis, models, softwareVersion);
    }
}
