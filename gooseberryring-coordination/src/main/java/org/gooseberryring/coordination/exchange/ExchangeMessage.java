package org.gooseberryring.coordination.exchange;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Message of the exchange on one link.
 *
 * @param number rises with each message of the sender on this link
 * @param acknowledged number of the last message that the sender received on this link, 0 if there was none
 * @param subscribes whether the sender relies on the receiver, which must send to it
 * @param restart whether the sender needs the whole state of all hosts anew
 * @param wantedDomains failure domains that the sender asks the receiver to pass on
 * @param coversAll whether all hosts live that the sender does not name as silent
 * @param coveredDomains failure domains whose hosts live unless the sender names them as silent
 * @param relayedHosts hosts that live, because the sender hears from them directly
 * @param updates changes that the receiver may lack
 * @param silent milliseconds since the last sign of life of hosts that are silent
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public record ExchangeMessage<K, V>(
        long number,
        long acknowledged,
        boolean subscribes,
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
