/** HTTP calls and the I/O worker that servers and clients share. */
package org.gooseberryring.transport.http;
