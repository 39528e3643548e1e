/** Configuration that a host follows. */
package org.gooseberryring.host.config;
