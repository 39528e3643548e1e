/** Bounded ring buffers between the threads of a host. */
package org.gooseberryring.host.ring;
