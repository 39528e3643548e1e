/** Authenticated links between hosts. */
package org.gooseberryring.transport.peer;
