package org.gooseberryring.host.control;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.claim.ClaimEffect;
import org.gooseberryring.coordination.claim.ClaimMessage;
import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.coordination.claim.ClaimRouter;
import org.gooseberryring.coordination.claim.ClaimSettings;
import org.gooseberryring.coordination.claim.ClaimShards;
import org.gooseberryring.host.peer.ClaimMessages;
import org.gooseberryring.host.peer.PeerMessageSender;

/** Runs the claims of idempotency keys on the control thread, both those that this host requests and those it owns. */
public final class ClaimControl {
    private static final long MESSAGE_LIFETIME_MILLIS = 2000;

    private final String self;
    private final long incarnation;
    private final ClaimShards shards;
    private final ClaimRouter router;
    private final StoreCallExecutor store;
    private final ControlLoop control;
    private final PeerMessageSender peers;
    private final BiConsumer<String, ClaimResult> results;
    private final CountDownLatch handedOver = new CountDownLatch(1);
    private boolean handingOver;

    /**
     * Creates the claims of one host.
     *
     * @param results receives the final result of each claim by request identifier, on the control thread
     */
    public ClaimControl(
            String self,
            long incarnation,
            StoreCallExecutor store,
            ControlLoop control,
            PeerMessageSender peers,
            BiConsumer<String, ClaimResult> results) {
        this.self = self;
        this.incarnation = incarnation;
        this.store = store;
        this.control = control;
        this.peers = peers;
        this.results = results;
        ClaimSettings settings = ClaimSettings.defaults();
        this.shards = new ClaimShards(self, incarnation, settings, new JsonClaimCodec());
        this.router = new ClaimRouter(settings, new JsonClaimCodec());
    }

    /** Sets the live hosts of all failure domains, including this host. */
    public void onMembers(Collection<String> liveHosts, long now) {
        shards.onMembersChanged(liveHosts, now);
        router.onMembersChanged(liveHosts);
    }

    /** Requests a claim; the result is delivered later. */
    public void claim(String requestId, String organisation, String key, String requestDigest, long now) {
        carryOut(router.claim(requestId, ClaimRouter.keyDigest(organisation, key), requestDigest, now));
    }

    /** Releases the claim of a request that did not run. */
    public void release(String requestId, long now) {
        carryOut(router.release(requestId, now));
    }

    /** Records the response of a request that ran; {@code body} is null if the response was not stored. */
    public void record(String requestId, int status, byte[] body, long now) {
        carryOut(router.record(requestId, status, body, now));
    }

    /** Stops tracking a request that may have run; its claim stays, so that the request is not repeated. */
    public void stopTracking(String requestId) {
        router.discard(requestId);
    }

    /** Handles a message of a host, which may be this one. */
    public void onMessage(String sender, long senderIncarnation, ClaimMessage message, long now) {
        if (message instanceof ClaimMessage.Request request) {
            carryOut(shards.onRequest(sender, senderIncarnation, request, now));
        } else if (message instanceof ClaimMessage.Reply reply) {
            carryOut(router.onReply(sender, reply, now));
        } else if (message instanceof ClaimMessage.Outcome outcome) {
            carryOut(shards.onOutcome(sender, senderIncarnation, outcome, now));
        }
    }

    /** Runs the work that is due at {@code now}. */
    public void tick(long now) {
        carryOut(shards.tick(now));
        carryOut(router.tick(now));
        if (handingOver && shards.hasReleasedAllShards()) {
            handedOver.countDown();
        }
    }

    /** Starts to hand over all shards. */
    public void startHandOver(long now) {
        handingOver = true;
        shards.releaseAllShards(now);
    }

    /**
     * Waits until all shards are handed over.
     *
     * @return whether the hand-over was completed within the time
     */
    public boolean awaitHandOver(long millis) throws InterruptedException {
        return handedOver.await(millis, TimeUnit.MILLISECONDS);
    }

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            if (effect instanceof ClaimEffect.Send send) {
                send(send);
            } else if (effect instanceof ClaimEffect.ReportResult report) {
                results.accept(report.requestId(), report.result());
            } else if (effect instanceof ClaimEffect.Store call) {
                boolean owner = call.caller() == ClaimEffect.Caller.OWNER;
                store.submit(
                        call.request(),
                        reply -> control.put(
                                now -> carryOut(owner ? shards.onStore(reply, now) : router.onStore(reply, now))));
            }
        }
    }

    private void send(ClaimEffect.Send send) {
        if (send.host().equals(self)) {
            // Delivered as a new event, because the components must not be called while their own effects are carried
            // out.
            control.offer(now -> onMessage(self, incarnation, send.message(), now));
        } else {
            peers.send(send.host(), ClaimMessages.encode(send.message()), MESSAGE_LIFETIME_MILLIS);
        }
    }
}
