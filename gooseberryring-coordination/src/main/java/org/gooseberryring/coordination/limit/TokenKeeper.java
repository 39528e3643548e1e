package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns this host's part of the token buckets of organisations and grants tokens from it to token pools.
 *
 * <p>The keeper deducts a batch before the receiver adds it, and counts the batch against the burst until it is
 * returned or has expired. A lost message therefore makes tokens unavailable for at most the lifetime of the batch and
 * never creates tokens. The keeper stops refilling and granting when its own confirmation in the store is too old,
 * because its quotas may then be reassigned to other keepers.
 */
public final class TokenKeeper {
    // Number of cached grants per organisation. A request that is repeated after its cached grant was evicted gets
    // another batch. The sender does not accept that batch, because it accepts one grant per request.
    private static final int MAX_CACHED_GRANTS = 512;

    // A successful loan is followed by the next one without delay. The interval doubles while no keeper can lend.
    private static final long MIN_LOAN_INTERVAL_MILLIS = 20;
    private static final long MAX_LOAN_INTERVAL_MILLIS = 1_000;

    private final String host;
    private final long incarnation;
    private final LimitSettings settings;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Set<String> startedFull = new HashSet<>();
    private boolean confirmedOnce;
    private long confirmedAt;
    private long sequence;

    /** State of one organisation at this keeper. */
    private static final class Account {
        private final KeeperBucket bucket;
        private final Map<String, TokenMessage.Grant> grants = new LinkedHashMap<>(64, 0.75f, false) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, TokenMessage.Grant> eldest) {
                return size() > MAX_CACHED_GRANTS;
            }
        };
        private List<String> lenders = List.of();
        private int nextLender;
        private long nextLoanAt = Long.MIN_VALUE;
        private long loanInterval = MIN_LOAN_INTERVAL_MILLIS;
        private String loanRequest;
        private long loanSentAt;

        private Account(KeeperBucket bucket) {
            this.bucket = bucket;
        }
    }

    /**
     * Creates a keeper without quotas.
     *
     * @param host identifier of this host
     * @param incarnation incarnation of this process
     * @param settings settings of the limits
     */
    public TokenKeeper(String host, long incarnation, LimitSettings settings) {
        this.host = host;
        this.incarnation = incarnation;
        this.settings = settings;
    }

    /**
     * Sets this host's quotas from the store. A new bucket with an inherited quota refills only after one batch
     * lifetime, because batches of an earlier incarnation may still be spent.
     *
     * @param quotas quotas of this host by organisation
     * @param now monotonic time in milliseconds
     */
    public void setQuotas(Map<String, Quota> quotas, long now) {
        accounts.keySet().retainAll(quotas.keySet());
        quotas.forEach((organisation, quota) -> {
            Account account = accounts.get(organisation);
            boolean isNew = account == null;
            if (isNew) {
                boolean inherited = !quota.full() && !quota.empty();
                account = new Account(new KeeperBucket(inherited ? now + settings.batchLifetimeMillis() : now));
                accounts.put(organisation, account);
            }
            account.bucket.allot(quota.targetRate(), quota.targetBurst(), now, fillUntil());
            if (quota.full() && startedFull.add(organisation)) {
                account.bucket.fillToBurst();
            }
        });
    }

    /** Sets the other keepers of an organisation, nearest first, from which this keeper may borrow. */
    public void setLenders(String organisation, List<String> keepers) {
        Account account = accounts.get(organisation);
        if (account != null) {
            account.lenders = List.copyOf(keepers);
        }
    }

    /**
     * Records that a write of this keeper's confirmation has taken effect.
     *
     * @param sentAt monotonic time in milliseconds at which the write was sent
     */
    public void onConfirmed(long sentAt) {
        confirmedAt = confirmedOnce ? Math.max(confirmedAt, sentAt) : sentAt;
        confirmedOnce = true;
    }

    /**
     * Returns whether the tokens of an organisation fit into its lowered burst, so that the reduction may be confirmed.
     */
    public boolean canConfirm(String organisation, long now) {
        Account account = accounts.get(organisation);
        if (account == null) {
            return false;
        }
        account.bucket.advance(now, fillUntil());
        return account.bucket.isWithinBurst(now);
    }

    /**
     * Handles a request for tokens.
     *
     * @param sender host that sent the request
     * @param request the request
     * @param now monotonic time in milliseconds
     */
    public List<LimitEffect> onRequest(String sender, TokenMessage.Request request, long now) {
        Account account = accounts.get(request.organisation());
        if (account == null || !canGrant(now)) {
            return List.of(new LimitEffect.Send(sender, emptyGrant(request, 0)));
        }
        account.bucket.advance(now, fillUntil());
        String key = sender + '/' + request.requestId();
        TokenMessage.Grant reply = account.grants.get(key);
        if (reply == null) {
            reply = grant(sender, request, account, now);
            account.grants.put(key, reply);
        }
        return List.of(new LimitEffect.Send(sender, reply));
    }

    /** Applies the return of a batch. Batches that are unknown or were granted to another host are ignored. */
    public void onReturn(String sender, TokenMessage.Return message, long now) {
        Account account = accounts.get(message.organisation());
        if (account != null) {
            account.bucket.advance(now, fillUntil());
            account.bucket.refund(sender, message.batchId(), message.tokens(), now);
        }
    }

    /**
     * Adds a loan from another keeper, closes its batch and returns the tokens that do not fit.
     *
     * @param sender keeper that lends
     * @param grant the loan
     * @param now monotonic time in milliseconds
     */
    public List<LimitEffect> onGrant(String sender, TokenMessage.Grant grant, long now) {
        Account account = accounts.get(grant.organisation());
        if (account == null || !grant.requestId().equals(account.loanRequest)) {
            return List.of();
        }
        account.loanRequest = null;
        boolean inTime = now < account.loanSentAt + settings.spendMillis(grant.lifetimeMillis());
        if (grant.tokens() <= 0 || !inTime || !canGrant(now)) {
            return List.of();
        }
        account.loanInterval = MIN_LOAN_INTERVAL_MILLIS;
        account.nextLoanAt = now;
        account.bucket.advance(now, fillUntil());
        long added = account.bucket.deposit(grant.tokens());
        return List.of(new LimitEffect.Send(
                sender, new TokenMessage.Return(grant.organisation(), grant.batchId(), grant.tokens() - added)));
    }

    /**
     * Closes expired batches, and borrows from the next lender if less than a quarter of the burst is left. A full
     * bucket wastes its refill, so without loans the demand at one host could use only a part of the burst.
     */
    public List<LimitEffect> tick(long now) {
        List<LimitEffect> effects = new ArrayList<>();
        accounts.forEach((organisation, account) -> {
            account.bucket.advance(now, fillUntil());
            long requested = account.bucket.burstTokens() / 4 - account.bucket.levelTokens();
            if (requested > 0 && now >= account.nextLoanAt && !account.lenders.isEmpty() && canGrant(now)) {
                effects.add(borrow(organisation, account, requested, now));
            }
        });
        return effects;
    }

    /** Returns the whole tokens that can be granted now. Used for metrics. */
    public long level(String organisation) {
        Account account = accounts.get(organisation);
        return account == null ? 0 : account.bucket.levelTokens();
    }

    /** Returns whether all batches of all organisations have been returned or have expired. */
    public boolean isSettled(long now) {
        accounts.values().forEach(account -> account.bucket.advance(now, fillUntil()));
        return accounts.values().stream().allMatch(account -> account.bucket.isSettled());
    }

    private LimitEffect borrow(String organisation, Account account, long requested, long now) {
        String lender = account.lenders.get(account.nextLender++ % account.lenders.size());
        account.loanRequest = nextId();
        account.loanSentAt = now;
        account.loanInterval = Math.min(MAX_LOAN_INTERVAL_MILLIS, 2 * account.loanInterval);
        account.nextLoanAt = now + account.loanInterval;
        return new LimitEffect.Send(
                lender, new TokenMessage.Request(account.loanRequest, organisation, requested, true));
    }

    private TokenMessage.Grant grant(String sender, TokenMessage.Request request, Account account, long now) {
        KeeperBucket bucket = account.bucket;
        // A lender keeps half of its burst, so that tokens do not oscillate between keepers.
        long grantable = request.lend() ? bucket.levelTokens() - bucket.burstTokens() / 2 : bucket.levelTokens();
        long requested = Math.min(Math.max(0, request.tokens()), grantable);
        String batchId = nextId();
        long tokens = bucket.grant(batchId, sender, requested, now + settings.batchLifetimeMillis());
        long missing = Math.max(0, request.tokens() - tokens);
        long retryAfter = missing == 0 ? 0 : bucket.refillMillis(missing);
        return tokens == 0
                ? emptyGrant(request, retryAfter)
                : new TokenMessage.Grant(
                        request.requestId(),
                        request.organisation(),
                        tokens,
                        settings.batchLifetimeMillis(),
                        retryAfter,
                        batchId);
    }

    private static TokenMessage.Grant emptyGrant(TokenMessage.Request request, long retryAfter) {
        return new TokenMessage.Grant(request.requestId(), request.organisation(), 0, 0, retryAfter, "");
    }

    private boolean canGrant(long now) {
        return confirmedOnce && now < fillUntil();
    }

    private long fillUntil() {
        return confirmedOnce ? confirmedAt + settings.stopAfterMillis() : Long.MIN_VALUE;
    }

    private String nextId() {
        return host + "/keeper/" + Long.toHexString(incarnation) + '/' + ++sequence;
    }
}
