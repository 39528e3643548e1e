package org.gooseberryring.host.caller;

/**
 * Format in which a caller interface writes its responses.
 *
 * @param headers selects the headers of endpoint responses that are passed on to callers
 * @param refusals writes refusals
 */
public record ResponseFormat(ResponseHeaderPolicy headers, RefusalWriter refusals) {
    /** Format of the product's own caller interface. */
    static final ResponseFormat STANDARD = new ResponseFormat(ResponseHeaderPolicy.STANDARD, ProblemWriter::write);
}
