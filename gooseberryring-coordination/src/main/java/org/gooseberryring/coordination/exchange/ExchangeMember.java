package org.gooseberryring.coordination.exchange;

import java.util.Comparator;

/**
 * Host that takes part in the exchange.
 *
 * @param host identifier of the host
 * @param failureDomain failure domain of the host
 * @param processors processor cores available to the host, 0 if unknown; hosts with more cores are preferred as relays
 */
public record ExchangeMember(String host, String failureDomain, double processors) {
    /** Order of preference for relays of a failure domain, the same on all hosts. */
    static final Comparator<ExchangeMember> RELAY_ORDER =
            Comparator.comparingDouble(ExchangeMember::processors).reversed().thenComparing(ExchangeMember::host);
}
