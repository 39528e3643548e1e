package org.gooseberryring.coordination.route;

/** Message between the hosts of a failure domain about the credits of one endpoint. */
public sealed interface CreditMessage {
    /** Returns the endpoint that the credits are of. */
    String endpoint();

    /** Returns the term of the home that the message is to or from. */
    long term();

    /**
     * Tells the home what the sender holds and wants; it also renews the lease.
     *
     * <p>Once it is sent, the sender accepts no grant for an earlier sequence number or term, so {@code held} is all
     * that it may use until the grant for this sequence number.
     *
     * @param endpoint endpoint that the credits are of
     * @param term term of the home that it is sent to
     * @param sequence number that rises with each request of this process for this endpoint
     * @param wanted credits that the sender wants in all
     * @param held credits that it holds, in use or not
     * @param succeeded complete answers of the endpoint since the last request, for its slow start
     * @param endpointLost whether the sender saw the endpoint's connections break since the last request
     */
    record Request(String endpoint, long term, long sequence, int wanted, int held, int succeeded, boolean endpointLost)
            implements CreditMessage {}

    /**
     * Answers a request.
     *
     * @param endpoint endpoint that the credits are of
     * @param term term of the home
     * @param sequence sequence number of the request
     * @param limit credits that the receiver may hold in all; it gives up unused ones above that
     * @param lifetimeMillis milliseconds from the sending of the request for which new requests may start
     */
    record Grant(String endpoint, long term, long sequence, int limit, long lifetimeMillis) implements CreditMessage {}
}
