/** Peer messages and the JSON documents of the external interfaces. */
package org.gooseberryring.protocol;
