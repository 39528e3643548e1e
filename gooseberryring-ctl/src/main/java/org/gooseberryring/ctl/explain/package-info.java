/** Builds the timeline of a request from the log files of hosts. */
package org.gooseberryring.ctl.explain;
