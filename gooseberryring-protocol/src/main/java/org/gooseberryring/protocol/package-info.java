/** Peer messages and the JSON documents of the outside interfaces. */
package org.gooseberryring.protocol;
