package org.gooseberryring.coordination.membership;

import java.util.List;

/** What the owner of a {@link FailureDetector} has to do. */
public sealed interface MembershipEffect {
    /**
     * Sends a probe.
     *
     * @param to host that gets the message
     * @param target host to probe on behalf of this one, or empty for a direct probe
     */
    record SendProbe(String to, long probeId, String target, List<Member> updates) implements MembershipEffect {}

    /**
     * Answers a probe.
     *
     * @param to host that gets the message
     * @param target host whose answer is passed on, or empty for the own answer
     */
    record SendReply(String to, long probeId, String target, List<Member> updates) implements MembershipEffect {}

    /** Tells the other parts of the host that the knowledge about a member changed. */
    record Changed(Member member) implements MembershipEffect {}
}
