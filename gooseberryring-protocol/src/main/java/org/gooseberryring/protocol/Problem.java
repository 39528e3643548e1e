package org.gooseberryring.protocol;

/**
 * Error response of the media type {@code application/problem+json}.
 *
 * @param type URI reference of the problem type
 * @param title short description of the problem type
 * @param status HTTP status
 * @param code stable code, see {@link org.gooseberryring.state.ErrorCode}
 * @param verdict whether the request may have run, see {@link org.gooseberryring.state.Verdict}
 * @param detail explanation of the problem with this request
 * @param requestId identifier of the request
 */
public record Problem(
        String type, String title, int status, String code, String verdict, String detail, String requestId) {}
