package org.gooseberryring.coordination.limit;

/** Tokens that a request holds until it is settled, as a list of parts of batches. */
final class Reservation {
    private final WalletAccount account;
    private final WalletBatch batch;
    private final long tokens;
    private final Reservation next;

    /**
     * Creates a part of a reservation.
     *
     * @param account account of the organisation
     * @param batch batch that the tokens are from
     * @param tokens tokens of this part
     * @param next further parts, or null
     */
    Reservation(WalletAccount account, WalletBatch batch, long tokens, Reservation next) {
        this.account = account;
        this.batch = batch;
        this.tokens = tokens;
        this.next = next;
    }

    WalletAccount account() {
        return account;
    }

    WalletBatch batch() {
        return batch;
    }

    long tokens() {
        return tokens;
    }

    Reservation next() {
        return next;
    }
}
