package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

import org.gooseberryring.transport.http.HttpCaller;

/**
 * What an installation uses of its host.
 *
 * @param caller makes calls to the platform and to endpoints
 * @param clock monotonic milliseconds of the host
 */
public record PlatformAccess(HttpCaller caller, LongSupplier clock) {}
