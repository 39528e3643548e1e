package org.gooseberryring.coordination.limit;

/** Tokens that are reserved for a request until it is settled, as a linked list of parts of batches. */
final class Reservation {
    private final OrganisationTokenPool pool;
    private final PooledTokenBatch batch;
    private final long tokens;
    private final Reservation next;

    /**
     * Creates a part of a reservation.
     *
     * @param pool token pool of the organisation
     * @param batch batch that the tokens come from
     * @param tokens number of tokens of this part
     * @param next further parts, or null
     */
    Reservation(OrganisationTokenPool pool, PooledTokenBatch batch, long tokens, Reservation next) {
        this.pool = pool;
        this.batch = batch;
        this.tokens = tokens;
        this.next = next;
    }

    OrganisationTokenPool pool() {
        return pool;
    }

    PooledTokenBatch batch() {
        return batch;
    }

    long tokens() {
        return tokens;
    }

    Reservation next() {
        return next;
    }
}
