/** Settings of a host and their validation. */
package org.gooseberryring.host.settings;
