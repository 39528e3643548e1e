package org.gooseberryring.coordination.exchange;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Message of the exchange on one link.
 *
 * @param number sequence number, increased with each message of the sender on this link
 * @param acknowledged number of the last message that the sender received on this link, 0 if there was none
 * @param subscribes whether the sender subscribes to the receiver, which must then send updates to it
 * @param restart whether the sender requests the complete state of all hosts again
 * @param wantedDomains failure domains whose state the sender asks the receiver to relay
 * @param coversAll whether all hosts are live that are not listed as silent
 * @param coveredDomains failure domains whose hosts are live unless they are listed as silent
 * @param relayedHosts hosts that are live, because the sender receives messages from them directly
 * @param updates changes that the receiver may not have
 * @param silent milliseconds since each silent host was last seen
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
