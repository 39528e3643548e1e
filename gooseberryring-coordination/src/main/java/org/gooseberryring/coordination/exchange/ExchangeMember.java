package org.gooseberryring.coordination.exchange;

import java.util.Comparator;

/**
 * Host that takes part in the exchange.
 *
 * @param host identifier of the host
 * @param failureDomain failure domain that it lies in
 * @param processors processor cores that it may use, 0 if unknown; hosts with more of them relay first
 */
public record ExchangeMember(String host, String failureDomain, double processors) {
    /** Order in which the hosts of a failure domain are chosen as relays, the same on all hosts. */
    static final Comparator<ExchangeMember> RELAY_ORDER =
            Comparator.comparingDouble(ExchangeMember::processors).reversed().thenComparing(ExchangeMember::host);
}
