/** Observed state of the other hosts and of the endpoints. */
package org.gooseberryring.host.fleet;
