package org.gooseberryring.state;

import java.util.List;

/**
 * What an endpoint has registered of itself.
 *
 * @param id identifier of this start of the endpoint
 * @param service service that it belongs to
 * @param address IP address and port, as {@code ip:port}
 * @param failureDomain failure domain that it lies in
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param coldMillis milliseconds for which it stays cold, as of the registration
 * @param bornMillis start of the endpoint in milliseconds since the Unix epoch, 0 if unknown
 * @param models models that it holds
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
        List<ResidentModel> models) {
    public EndpointRegistration {
        models = List.copyOf(models);
    }

    /** Returns the process that registered. */
    public EndpointProcess process() {
        return new EndpointProcess(id, bornMillis);
    }

    /** Returns this registration of an endpoint that takes no new work. */
    public EndpointRegistration asLeaving() {
        return new EndpointRegistration(
                id, service, address, failureDomain, slots, true, coldMillis, bornMillis, models);
    }
}
