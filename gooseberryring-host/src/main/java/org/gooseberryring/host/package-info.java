/** Assembles the components of an entry host and starts them. */
package org.gooseberryring.host;
