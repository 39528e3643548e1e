/** Exchange of messages with other hosts. */
package org.gooseberryring.host.peer;
