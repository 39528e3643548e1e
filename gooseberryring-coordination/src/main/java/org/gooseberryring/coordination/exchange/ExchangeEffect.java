package org.gooseberryring.coordination.exchange;

/**
 * What the exchange asks its host to do.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public sealed interface ExchangeEffect<K, V> {
    /**
     * Sends a message to another host.
     *
     * @param host receiver
     * @param sync message
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record Send<K, V>(String host, ExchangeMessage<K, V> sync) implements ExchangeEffect<K, V> {}

    /**
     * Opens the connection to another host anew, because nothing that was sent on it arrives.
     *
     * @param host host at the other end
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record Reconnect<K, V>(String host) implements ExchangeEffect<K, V> {}

    /**
     * Takes over changes of the state of another host.
     *
     * @param update changes
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record HostUpdated<K, V>(RecordUpdate<K, V> update) implements ExchangeEffect<K, V> {}

    /**
     * Drops the state of a host that gave no sign of life for a long time.
     *
     * @param host host that is gone
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record HostExpired<K, V>(String host) implements ExchangeEffect<K, V> {}

    /**
     * Notes that this host relays the state of its failure domain from now on, or no longer does.
     *
     * @param relays whether it does
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record RelayRoleChanged<K, V>(boolean relays) implements ExchangeEffect<K, V> {}
}
