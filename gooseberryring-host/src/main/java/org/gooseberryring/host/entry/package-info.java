/** Entry host of an installation whose platform keeps the configuration and lists the endpoints. */
package org.gooseberryring.host.entry;
