package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

import org.gooseberryring.transport.http.HttpCaller;

/**
 * Facilities of the host that a deployment uses.
 *
 * @param caller HTTP client for calls to the platform and to endpoints
 * @param clock monotonic milliseconds of the host
 */
public record PlatformAccess(HttpCaller caller, LongSupplier clock) {}
