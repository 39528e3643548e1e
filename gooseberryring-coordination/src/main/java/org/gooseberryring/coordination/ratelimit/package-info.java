/** Rate limits that endpoints state for all hosts together, and the permits by which the hosts share them. */
package org.gooseberryring.coordination.ratelimit;
