package org.gooseberryring.host.caller;

/**
 * How the answers of a caller interface are written.
 *
 * @param headers headers of endpoints' answers that callers get
 * @param refusals writes refusals
 */
public record ResponseFormat(ResponseHeaderPolicy headers, RefusalWriter refusals) {
    /** Style of the product's own caller interface. */
    static final ResponseFormat STANDARD = new ResponseFormat(ResponseHeaderPolicy.STANDARD, ProblemWriter::write);
}
