/** Choice of an endpoint for a request: load, slow start, prefix affinity and concurrency credits. */
package org.gooseberryring.coordination.route;
