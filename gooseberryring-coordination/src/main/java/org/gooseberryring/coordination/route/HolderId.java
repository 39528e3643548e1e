package org.gooseberryring.coordination.route;

/**
 * One process of a host that has or grants credits.
 *
 * @param host identifier of the host
 * @param incarnation number of the process, higher after each restart of the host
 */
public record HolderId(String host, long incarnation) {}
