package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.claim.ClaimMessage;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.route.HolderId;
import org.gooseberryring.host.control.ClaimControl;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.FeedControl;
import org.gooseberryring.host.control.SummaryControl;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.peer.MemberState;
import org.gooseberryring.protocol.peer.MemberUpdate;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.Probe;
import org.gooseberryring.protocol.peer.QuarantineNotice;
import org.gooseberryring.protocol.peer.QuarantinedDigest;
import org.gooseberryring.transport.peer.PeerListener;

/** Dispatches the messages of other hosts to the threads that handle them. */
public final class PeerInbox implements PeerListener {
    private TokenRoutes tokens;
    private RequestLoop requests;
    private HostDirectory directory;
    private ControlLoop control;
    private FeedControl feed;
    private SummaryControl summaries;
    private ClaimControl claims;
    private CreditRoutes credits;

    /** Sets the receivers; must be called before the first message. */
    public void connect(
            TokenRoutes tokenRoutes,
            RequestLoop requestLoop,
            HostDirectory hostDirectory,
            ControlLoop controlLoop,
            FeedControl feedControl,
            SummaryControl summaryControl,
            ClaimControl claimControl,
            CreditRoutes creditRoutes) {
        credits = creditRoutes;
        claims = claimControl;
        summaries = summaryControl;
        control = controlLoop;
        feed = feedControl;
        directory = hostDirectory;
        tokens = tokenRoutes;
        requests = requestLoop;
    }

    @Override
    public void onMessage(PeerMessage message) {
        String sender = message.getSender();
        switch (message.getBodyCase()) {
            case TOKEN_REQUEST -> tokens.received(sender, TokenMessages.decode(message.getTokenRequest()));
            case TOKEN_GRANT -> tokens.received(sender, TokenMessages.decode(message.getTokenGrant()));
            case TOKEN_RETURN -> tokens.received(sender, TokenMessages.decode(message.getTokenReturn()));
            case CONFIGURATION_REQUEST ->
                control.offer(now -> feed.onPeerRequest(sender, message.getConfigurationRequest(), now));
            case CONFIGURATION_REPLY ->
                control.offer(now -> feed.onPeerReply(sender, message.getConfigurationReply(), now));
            case PROBE -> handleProbe(sender, message.getProbe());
            case CREDIT_REQUEST ->
                credits.received(new HolderId(sender, message.getSenderIncarnation()), message.getCreditRequest());
            case CREDIT_GRANT -> credits.received(message.getCreditGrant());
            case CLAIM_REQUEST -> handleClaim(message, ClaimMessages.decode(message.getClaimRequest()));
            case CLAIM_REPLY -> handleClaim(message, ClaimMessages.decode(message.getClaimReply()));
            case CLAIM_OUTCOME -> handleClaim(message, ClaimMessages.decode(message.getClaimOutcome()));
            case DOMAIN_SUMMARY -> summaries.onSummary(sender, message.getDomainSummary());
            case QUARANTINE_NOTICE -> handleQuarantine(message);
            default -> {
                // Ignores messages of later versions of the program and messages that this host does not handle.
            }
        }
    }

    private void handleClaim(PeerMessage message, ClaimMessage claim) {
        if (claim != null) {
            control.offer(now -> claims.onMessage(message.getSender(), message.getSenderIncarnation(), claim, now));
        }
    }

    private void handleProbe(String sender, Probe probe) {
        probe.getUpdatesList().forEach(this::handleAnnouncement);
        control.offer(now -> feed.onPeerRevision(sender, probe.getConfigurationRevision(), now));
    }

    private void handleAnnouncement(MemberUpdate update) {
        if (update.getState() == MemberState.MEMBER_STATE_ALIVE) {
            directory.onAnnouncement(new HostEntry(
                    update.getHost(),
                    update.getFailureDomain(),
                    update.getPeerAddress(),
                    update.getRelayAddress(),
                    HostDirectory.LIVE));
        }
    }

    private void handleQuarantine(PeerMessage message) {
        QuarantineNotice notice = message.getQuarantineNotice();
        String reporter = message.getSender() + "/" + Long.toHexString(message.getSenderIncarnation());
        for (QuarantinedDigest digest : notice.getDigestsList()) {
            RequestCrash crash = RequestCrash.withoutEvidence(digest.getDigest(), digest.getEndpointLosses());
            requests.put((engine, now) -> engine.crashReported(reporter, crash, now));
        }
    }
}
