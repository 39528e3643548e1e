/** Routing on a host that connects directly to every endpoint of its deployment. */
package org.gooseberryring.coordination.direct;
