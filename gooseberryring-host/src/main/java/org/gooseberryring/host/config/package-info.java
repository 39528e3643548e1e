/** Configuration of a host: current state, changes and audit records. */
package org.gooseberryring.host.config;
