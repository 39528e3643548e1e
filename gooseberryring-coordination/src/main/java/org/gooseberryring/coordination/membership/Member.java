package org.gooseberryring.coordination.membership;

/**
 * Known state of a host.
 *
 * @param host host identifier
 * @param incarnation number of its process, increased by each restart
 * @param refutation number of refuted suspicions in this incarnation
 * @param state state of the host
 * @param failureDomain failure domain of the host
 * @param peerAddress address of its peer links, {@code ip:port}
 * @param relayAddress address that accepts requests from other failure domains, {@code ip:port}
 */
public record Member(
        String host,
        long incarnation,
        long refutation,
        MemberState state,
        String failureDomain,
        String peerAddress,
        String relayAddress) {

    /** Returns whether this state supersedes another state of the same host. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (refutation != other.refutation) {
            // Only the host itself increases the number, so it was alive after it was notified of the suspicion.
            return refutation > other.refutation;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether requests may be sent to the host. */
    public boolean isReachable() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    Member with(MemberState newState) {
        return new Member(host, incarnation, refutation, newState, failureDomain, peerAddress, relayAddress);
    }

    Member refuted(long newRefutation, MemberState newState) {
        return new Member(host, incarnation, newRefutation, newState, failureDomain, peerAddress, relayAddress);
    }
}
