/** What a host observes of the other hosts and of its endpoints. */
package org.gooseberryring.host.fleet;
