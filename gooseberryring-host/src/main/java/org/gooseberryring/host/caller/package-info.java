/** Interface to callers. */
package org.gooseberryring.host.caller;
