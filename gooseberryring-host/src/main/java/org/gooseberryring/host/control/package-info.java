/** Control thread and the store calls that it asks for. */
package org.gooseberryring.host.control;
