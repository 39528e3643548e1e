package org.gooseberryring.coordination.membership;

import java.util.List;

/** Action that a {@link FailureDetector} requests from its host. */
public sealed interface MembershipEffect {
    /**
     * Sends a probe.
     *
     * @param to receiver of the message
     * @param target host to probe on behalf of this one, or empty for a direct probe
     */
    record SendProbe(String to, long probeId, String target, List<Member> updates) implements MembershipEffect {}

    /**
     * Replies to a probe.
     *
     * @param to receiver of the message
     * @param target host whose reply is forwarded, or empty for the reply of this host
     */
    record SendReply(String to, long probeId, String target, List<Member> updates) implements MembershipEffect {}

    /** Notifies the other components of the host that the known state of a member has changed. */
    record MemberChanged(Member member) implements MembershipEffect {}
}
