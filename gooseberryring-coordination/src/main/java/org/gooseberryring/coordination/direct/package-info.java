/** Routing of a host that reaches every endpoint of its installation itself. */
package org.gooseberryring.coordination.direct;
