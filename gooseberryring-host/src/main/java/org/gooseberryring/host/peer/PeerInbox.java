package org.gooseberryring.host.peer;

import com.google.protobuf.ByteString;
import org.gooseberryring.host.config.ConfigurationHolder;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.peer.ConfigurationReply;
import org.gooseberryring.protocol.peer.ConfigurationRequest;
import org.gooseberryring.protocol.peer.MemberState;
import org.gooseberryring.protocol.peer.MemberUpdate;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.QuarantineNotice;
import org.gooseberryring.protocol.peer.QuarantinedDigest;
import org.gooseberryring.transport.peer.PeerListener;

/** Hands the messages of other hosts to the thread that they concern. */
public final class PeerInbox implements PeerListener {
    private static final long REPLY_LIFETIME_MILLIS = 2000;

    private final ConfigurationHolder holder;
    private final PeerSend peers;
    private TokenRoutes tokens;
    private RequestLoop requests;
    private HostDirectory directory;

    public PeerInbox(ConfigurationHolder holder, PeerSend peers) {
        this.holder = holder;
        this.peers = peers;
    }

    /** Names the receivers; must precede the first message. */
    public void connect(TokenRoutes tokenRoutes, RequestLoop requestLoop, HostDirectory hostDirectory) {
        directory = hostDirectory;
        tokens = tokenRoutes;
        requests = requestLoop;
    }

    @Override
    public void received(PeerMessage message) {
        String sender = message.getSender();
        switch (message.getBodyCase()) {
            case TOKEN_REQUEST -> tokens.received(sender, TokenMessages.decode(message.getTokenRequest()));
            case TOKEN_GRANT -> tokens.received(sender, TokenMessages.decode(message.getTokenGrant()));
            case TOKEN_RETURN -> tokens.received(sender, TokenMessages.decode(message.getTokenReturn()));
            case CONFIGURATION_REQUEST -> answer(sender, message.getConfigurationRequest());
            case CONFIGURATION_REPLY -> adopt(sender, message.getConfigurationReply());
            case PROBE -> message.getProbe().getUpdatesList().forEach(this::announced);
            case QUARANTINE_NOTICE -> quarantine(message);
            default -> {
                // A message of a later version of the program, or one that this host has no part in.
            }
        }
    }

    private void announced(MemberUpdate update) {
        if (update.getState() == MemberState.MEMBER_STATE_ALIVE) {
            directory.announced(new HostEntry(
                    update.getHost(),
                    update.getFailureDomain(),
                    update.getPeerAddress(),
                    update.getRelayAddress(),
                    HostDirectory.LIVE));
        }
    }

    private void answer(String sender, ConfigurationRequest request) {
        if (holder.current().revision() > request.getKnownRevision()) {
            ConfigurationReply reply = ConfigurationReply.newBuilder()
                    .setRevision(holder.current().revision())
                    .setDocument(ByteString.copyFrom(holder.document()))
                    .build();
            peers.send(sender, PeerMessage.newBuilder().setConfigurationReply(reply), REPLY_LIFETIME_MILLIS);
        }
    }

    private void adopt(String sender, ConfigurationReply reply) {
        if (!reply.getDocument().isEmpty()) {
            holder.adopt(reply.getDocument().toByteArray(), sender);
        }
    }

    private void quarantine(PeerMessage message) {
        QuarantineNotice notice = message.getQuarantineNotice();
        String reporter = message.getSender() + "/" + Long.toHexString(message.getSenderIncarnation());
        for (QuarantinedDigest digest : notice.getDigestsList()) {
            requests.put(
                    (engine, now) -> engine.quarantined(reporter, digest.getDigest(), digest.getEndpointLosses(), now));
        }
    }
}
