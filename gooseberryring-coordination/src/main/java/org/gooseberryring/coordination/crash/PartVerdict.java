package org.gooseberryring.coordination.crash;

/**
 * Verdict on a part of requests: whether requests that have it are rejected.
 *
 * @param part part of a request
 * @param generation number of the verdict on this part; a new rejection after the end of an earlier one has a higher one
 * @param ended whether an endpoint has answered a request with the part since, so that it is accepted again
 * @param confidence rises with each trial request that crashed its endpoint; the next trial follows later
 */
public record PartVerdict(RequestPart part, int generation, boolean ended, int confidence) {
    /** Returns whether this verdict is newer than another one on the same part, null if there is none. */
    boolean supersedes(PartVerdict other) {
        if (other == null || generation != other.generation) {
            return other == null || generation > other.generation;
        }
        return ended == other.ended ? confidence > other.confidence : ended;
    }

    PartVerdict end() {
        return new PartVerdict(part, generation, true, confidence);
    }

    PartVerdict confirm() {
        return new PartVerdict(part, generation, false, confidence + 1);
    }
}
