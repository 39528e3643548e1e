package org.gooseberryring.protocol;

/**
 * Refusal in the form {@code application/problem+json}.
 *
 * @param type URI reference of the kind of problem
 * @param title short description of the kind of problem
 * @param status HTTP status
 * @param code stable code, see {@link org.gooseberryring.state.ErrorCode}
 * @param verdict whether the request may have run, see {@link org.gooseberryring.state.Verdict}
 * @param detail what went wrong with this request
 * @param requestId identifier of the request
 */
public record Problem(
        String type, String title, int status, String code, String verdict, String detail, String requestId) {}
