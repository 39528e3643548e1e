/** Following a collection of the platform's store through cuts, lost history and outages. */
package org.gooseberryring.coordination.feed;
