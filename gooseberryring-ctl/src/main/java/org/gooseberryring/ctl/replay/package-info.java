/** Replay of request traces against live hosts, and generation of traces. */
package org.gooseberryring.ctl.replay;
