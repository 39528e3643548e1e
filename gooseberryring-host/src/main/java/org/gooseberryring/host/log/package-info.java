/** Log lines of key=value pairs. */
package org.gooseberryring.host.log;
