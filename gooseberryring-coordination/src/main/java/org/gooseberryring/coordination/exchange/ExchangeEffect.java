package org.gooseberryring.coordination.exchange;

/**
 * Action that the state exchange requests from its host.
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
     * Reopens the connection to another host, because the messages sent on it are not acknowledged.
     *
     * @param host host at the other end
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record Reconnect<K, V>(String host) implements ExchangeEffect<K, V> {}

    /**
     * Applies changes of the state of another host.
     *
     * @param update changes
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record HostUpdated<K, V>(RecordUpdate<K, V> update) implements ExchangeEffect<K, V> {}

    /**
     * Removes the state of a host that has been silent for longer than the expiry time.
     *
     * @param host silent host
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record HostExpired<K, V>(String host) implements ExchangeEffect<K, V> {}

    /**
     * Reports that this host has become a relay of its failure domain, or has stopped being one.
     *
     * @param relays whether this host is a relay now
     * @param <K> type of the keys
     * @param <V> type of the values
     */
    record RelayRoleChanged<K, V>(boolean relays) implements ExchangeEffect<K, V> {}
}
