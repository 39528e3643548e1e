package org.gooseberryring.coordination.route;

/** Message between the hosts of a failure domain about the credits of one endpoint. */
public sealed interface CreditMessage {
    /** Returns the endpoint of the credits. */
    String endpoint();

    /** Returns the term of the coordinator that sends or receives the message. */
    long term();

    /**
     * Reports to the coordinator the credits that the sender has and requests; it also renews the lease.
     *
     * <p>After sending it, the sender accepts no grant for an earlier sequence number or term. Until it receives the
     * grant for this sequence number, it may use no more than {@code held} credits.
     *
     * @param endpoint endpoint that the credits are of
     * @param term term of the coordinator that it is sent to
     * @param sequence number that increases with each request of this process for this endpoint
     * @param wanted total number of credits that the sender requests
     * @param held credits that the sender has, in use or not
     * @param succeeded complete responses of the endpoint since the last request, for its slow start
     * @param endpointLost whether the sender saw the endpoint's connections break since the last request
     */
    record Request(String endpoint, long term, long sequence, int wanted, int held, int succeeded, boolean endpointLost)
            implements CreditMessage {}

    /**
     * Reply to a request.
     *
     * @param endpoint endpoint that the credits are of
     * @param term term of the coordinator
     * @param sequence sequence number of the request
     * @param limit total number of credits that the receiver may have; it discards unused ones above that
     * @param lifetimeMillis milliseconds from the sending of the request for which new requests may start
     */
    record Grant(String endpoint, long term, long sequence, int limit, long lifetimeMillis) implements CreditMessage {}
}
