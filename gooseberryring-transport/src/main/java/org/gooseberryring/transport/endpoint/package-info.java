/** Streaming client of endpoints and relays. */
package org.gooseberryring.transport.endpoint;
