package org.gooseberryring.ctl.admin;

/**
 * Response of the administration interface or of another HTTP server.
 *
 * @param status HTTP status
 * @param etag entity tag without quotes, or null
 * @param body complete body
 */
public record AdminResponse(int status, String etag, byte[] body) {
    private static final int SUCCESS_STATUS_END = 300;

    public boolean isSuccessful() {
        return status < SUCCESS_STATUS_END;
    }
}
