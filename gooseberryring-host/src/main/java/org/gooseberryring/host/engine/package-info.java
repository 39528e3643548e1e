/** Thread of the request engine and the effects that it asks for. */
package org.gooseberryring.host.engine;
