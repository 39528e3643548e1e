/** Control thread and the store calls that it makes. */
package org.gooseberryring.host.control;
