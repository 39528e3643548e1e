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

/** Runs the claims of idempotency keys on the control thread: those that this host asks for and those that it owns. */
public final class ClaimControl {
    private static final long MESSAGE_MILLIS = 2000;

    private final String self;
    private final long incarnation;
    private final ClaimShards shards;
    private final ClaimRouter router;
    private final StoreCallExecutor store;
    private final ControlLoop control;
    private final PeerMessageSender peers;
    private final BiConsumer<String, ClaimResult> answers;
    private final CountDownLatch handedOver = new CountDownLatch(1);
    private boolean leaving;

    /**
     * Creates the claims of one host.
     *
     * @param answers takes the final answer to each claim, by request, on the control thread
     */
    public ClaimControl(
            String self,
            long incarnation,
            StoreCallExecutor store,
            ControlLoop control,
            PeerMessageSender peers,
            BiConsumer<String, ClaimResult> answers) {
        this.self = self;
        this.incarnation = incarnation;
        this.store = store;
        this.control = control;
        this.peers = peers;
        this.answers = answers;
        ClaimSettings settings = ClaimSettings.defaults();
        this.shards = new ClaimShards(self, incarnation, settings, new JsonClaimCodec());
        this.router = new ClaimRouter(settings, new JsonClaimCodec());
    }

    /** Takes over the live hosts of all failure domains, this host included. */
    public void members(Collection<String> liveHosts, long now) {
        shards.onMembersChanged(liveHosts, now);
        router.onMembersChanged(liveHosts);
    }

    /** Asks for a claim; its answer follows. */
    public void claim(String requestId, String organisation, String key, String requestDigest, long now) {
        carryOut(router.claim(requestId, ClaimRouter.keyDigest(organisation, key), requestDigest, now));
    }

    /** Releases the claim of a request that did not run. */
    public void release(String requestId, long now) {
        carryOut(router.release(requestId, now));
    }

    /** Records the answer of a request that ran; {@code body} is null if the answer was not kept. */
    public void record(String requestId, int status, byte[] body, long now) {
        carryOut(router.record(requestId, status, body, now));
    }

    /** Keeps the claim of a request that may have run. */
    public void forget(String requestId) {
        router.discard(requestId);
    }

    /** Takes a message of a host, which may be this one. */
    public void received(String sender, long senderIncarnation, ClaimMessage message, long now) {
        if (message instanceof ClaimMessage.Request request) {
            carryOut(shards.onRequest(sender, senderIncarnation, request, now));
        } else if (message instanceof ClaimMessage.Reply reply) {
            carryOut(router.onReply(sender, reply, now));
        } else if (message instanceof ClaimMessage.Outcome outcome) {
            carryOut(shards.onOutcome(sender, senderIncarnation, outcome, now));
        }
    }

    /** Lets time pass. */
    public void tick(long now) {
        carryOut(shards.tick(now));
        carryOut(router.tick(now));
        if (leaving && shards.hasReleasedAllShards()) {
            handedOver.countDown();
        }
    }

    /** Begins to give up all shards. */
    public void leave(long now) {
        leaving = true;
        shards.releaseAllShards(now);
    }

    /**
     * Waits until all shards are given up.
     *
     * @return whether it was so within the time
     */
    public boolean awaitHandOver(long millis) throws InterruptedException {
        return handedOver.await(millis, TimeUnit.MILLISECONDS);
    }

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            if (effect instanceof ClaimEffect.Send send) {
                send(send);
            } else if (effect instanceof ClaimEffect.ReportResult answered) {
                answers.accept(answered.requestId(), answered.result());
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
            // Handed over as a new event, because the components must not be called from within their own effects.
            control.offer(now -> received(self, incarnation, send.message(), now));
        } else {
            peers.send(send.host(), ClaimMessages.encode(send.message()), MESSAGE_MILLIS);
        }
    }
}
