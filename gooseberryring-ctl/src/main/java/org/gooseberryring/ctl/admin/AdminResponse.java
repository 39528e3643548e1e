package org.gooseberryring.ctl.admin;

/**
 * Answer to an HTTP call.
 *
 * @param status HTTP status
 * @param etag entity tag without quotes, or null
 * @param body whole body
 */
public record AdminResponse(int status, String etag, byte[] body) {
    private static final int OK_END = 300;

    public boolean ok() {
        return status < OK_END;
    }
}
