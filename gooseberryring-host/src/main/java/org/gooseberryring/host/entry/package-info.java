/** Entry host of a deployment whose platform stores the configuration and the registrations of endpoints. */
package org.gooseberryring.host.entry;
