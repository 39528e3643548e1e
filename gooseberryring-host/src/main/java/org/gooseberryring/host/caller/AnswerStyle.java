package org.gooseberryring.host.caller;

/**
 * How the answers of a caller interface are written.
 *
 * @param headers headers of endpoints' answers that callers get
 * @param refusals writes refusals
 */
public record AnswerStyle(AnswerHeaders headers, RefusalWriter refusals) {
    /** Style of the product's own caller interface. */
    static final AnswerStyle STANDARD = new AnswerStyle(AnswerHeaders.STANDARD, ProblemWriter::write);
}
