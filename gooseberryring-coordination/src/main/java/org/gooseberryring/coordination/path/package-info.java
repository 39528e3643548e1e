/** Paths to endpoints: which of them this host reaches itself, and the hosts that reach the others for it. */
package org.gooseberryring.coordination.path;
