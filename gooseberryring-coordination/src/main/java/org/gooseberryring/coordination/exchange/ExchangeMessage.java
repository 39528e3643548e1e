package org.gooseberryring.coordination.exchange;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Message of the exchange on one link.
 *
 * @param number rises with each message of the sender on this link
 * @param acknowledged number of the last message that the sender received on this link, 0 if there was none
 * @param asks whether the sender relies on the receiver, which must send to it
 * @param restart whether the sender needs the whole state of all hosts anew
 * @param wantedDomains failure domains that the sender asks the receiver to pass on
 * @param coversAll whether the sender vouches for all hosts that it does not name as silent
 * @param coveredDomains failure domains for whose hosts the sender vouches
 * @param relayedHosts hosts that the sender hears of directly and vouches for
 * @param updates changes that the receiver may lack
 * @param silent milliseconds since the last sign of life of hosts that are silent
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public record ExchangeMessage<K, V>(
        long number,
        long acknowledged,
        boolean asks,
        boolean restart,
        Set<String> wantedDomains,
        boolean coversAll,
        Set<String> coveredDomains,
        Set<String> relayedHosts,
        List<RecordUpdate<K, V>> updates,
        Map<String, Long> silent) {
    public ExchangeMessage {
        wantedDomains = Set.copyOf(wantedDomains);
        coveredDomains = Set.copyOf(coveredDomains);
        relayedHosts = Set.copyOf(relayedHosts);
        updates = List.copyOf(updates);
        silent = Map.copyOf(silent);
    }
}
