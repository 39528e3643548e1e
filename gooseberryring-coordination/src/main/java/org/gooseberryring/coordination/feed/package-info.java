/** Follows a collection of the platform's store across connection losses, missing history and outages. */
package org.gooseberryring.coordination.feed;
