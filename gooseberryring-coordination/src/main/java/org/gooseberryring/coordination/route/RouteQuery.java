package org.gooseberryring.coordination.route;

import org.gooseberryring.coordination.request.Target;

/**
 * What the router needs to know of a request.
 *
 * @param target model or service that the request is for
 * @param prefixHash hash of the salted prompt prefix, 0 if there is none
 * @param alone whether it must run alone on its endpoint because it may crash it
 * @param relayed whether it came from another failure domain and must not be relayed again
 */
public record RouteQuery(Target target, long prefixHash, boolean alone, boolean relayed) {}
