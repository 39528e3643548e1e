/** Client of the platform's object store. */
package org.gooseberryring.transport.store;
