package org.gooseberryring.host.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.limit.KeeperChoice;
import org.gooseberryring.coordination.limit.KeeperIdentity;
import org.gooseberryring.coordination.limit.LimitEffect;
import org.gooseberryring.coordination.limit.LimitSettings;
import org.gooseberryring.coordination.limit.QuotaCodec;
import org.gooseberryring.coordination.limit.QuotaLedger;
import org.gooseberryring.coordination.limit.TokenKeeper;
import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.host.engine.TokenPoolInputs;
import org.gooseberryring.state.FleetConfiguration;

/** Runs the token keeper and the quota ledger on the control thread. */
public final class LimitControl {
    // The token pool numbers its requests in the same way; the suffix distinguishes the grants for the keeper.
    private static final String KEEPER_SUFFIX = "#keeper";

    private final String self;
    private final int keepersPerDomain;
    private final String keeperPrefix;
    private final TokenKeeper keeper;
    private final QuotaLedger ledger;
    private final StoreCallExecutor store;
    private final ControlLoop control;
    private final TokenPoolInputs tokenPool;
    private final BiConsumer<String, TokenMessage> messageSender;
    private final Map<String, List<String>> knownKeepers = new HashMap<>();
    private final CountDownLatch handedOver = new CountDownLatch(1);
    private List<String> members = List.of();
    private Set<String> organisations = Set.of();
    private boolean handingOver;
    private boolean storeFailed;
    private volatile boolean ready;

    /**
     * Creates the keeper and the ledger of this host.
     *
     * @param messageSender sends a message of the keeper to the named host, which may be this one
     */
    public LimitControl(
            KeeperIdentity self,
            LimitSettings settings,
            QuotaCodec codec,
            StoreCallExecutor store,
            ControlLoop control,
            TokenPoolInputs tokenPool,
            BiConsumer<String, TokenMessage> messageSender) {
        this.self = self.host();
        this.keepersPerDomain = settings.keepersPerDomain();
        this.keeperPrefix = self.host() + KEEPER_SUFFIX + "/";
        this.keeper = new TokenKeeper(self.host() + KEEPER_SUFFIX, self.incarnation(), settings);
        this.ledger = new QuotaLedger(self, settings, codec, keeper);
        this.store = store;
        this.control = control;
        this.tokenPool = tokenPool;
        this.messageSender = messageSender;
    }

    /** Applies the organisations of a configuration. */
    public void onConfiguration(FleetConfiguration configuration) {
        organisations = new HashSet<>(configuration.organisations().keySet());
        knownKeepers.keySet().retainAll(organisations);
        ledger.configure(configuration.revision(), configuration.organisations());
        announceKeepers();
    }

    /** Sets the live hosts of this failure domain, including this host. */
    public void onMembers(Collection<String> liveHosts) {
        members = List.copyOf(liveHosts);
        ledger.setMembers(liveHosts);
        announceKeepers();
    }

    /** Returns whether a grant is for a loan request of the keeper rather than for a request of the token pool. */
    public boolean isLoan(TokenMessage.Grant grant) {
        return grant.requestId().startsWith(keeperPrefix);
    }

    /** Handles a message for the keeper. */
    public void onMessage(String sender, TokenMessage message, long now) {
        if (message instanceof TokenMessage.Request request) {
            carryOut(keeper.onRequest(sender, request, now));
        } else if (message instanceof TokenMessage.Return returned) {
            keeper.onReturn(sender, returned, now);
        } else if (message instanceof TokenMessage.Grant grant) {
            carryOut(keeper.onGrant(sender, grant, now));
        }
    }

    /** Runs the work that is due at {@code now}. */
    public void tick(long now) {
        carryOut(keeper.tick(now));
        carryOut(ledger.tick(now));
        if (handingOver && ledger.isHandedOver()) {
            handedOver.countDown();
        }
    }

    /** Starts the hand-over of this host's quotas. */
    public void startHandOver() {
        handingOver = true;
        ledger.leave();
    }

    /**
     * Waits until the hand-over is complete.
     *
     * @return whether the hand-over was completed within the time
     */
    public boolean awaitHandOver(long millis) throws InterruptedException {
        return handedOver.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the keepers of every organisation are known; without them every request is refused. */
    public boolean isReady() {
        return ready;
    }

    private void carryOut(List<LimitEffect> effects) {
        for (LimitEffect effect : effects) {
            if (effect instanceof LimitEffect.Send send) {
                messageSender.accept(send.host(), send.message());
            } else if (effect instanceof LimitEffect.Store call) {
                store.submit(
                        call.request(),
                        reply -> control.put(now -> {
                            storeFailed = reply.outcome() == StoreOutcome.UNAVAILABLE
                                    || reply.outcome() == StoreOutcome.UNKNOWN;
                            ledger.onStoreReply(reply, now);
                            announceKeepers();
                        }));
            }
        }
    }

    /** Returns the recorded keepers or, if the record cannot be read, the hosts that {@link KeeperChoice} selects. */
    private List<String> keepers(String organisation) {
        if (ledger.document() != null) {
            return ledger.keepers(organisation);
        }
        if (!storeFailed) {
            return List.of();
        }
        List<String> candidates = new ArrayList<>(KeeperChoice.rank(organisation, members));
        candidates.remove(self);
        return candidates.subList(0, Math.min(keepersPerDomain, candidates.size()));
    }

    private void announceKeepers() {
        for (String organisation : organisations) {
            List<String> keepers = keepers(organisation);
            if (!keepers.equals(knownKeepers.put(organisation, keepers))) {
                tokenPool.setKeepers(organisation, keepers);
            }
        }
        ready = organisations.stream().noneMatch(o -> knownKeepers.get(o).isEmpty());
    }
}
