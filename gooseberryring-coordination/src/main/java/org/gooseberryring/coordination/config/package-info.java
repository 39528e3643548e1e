/** Changes of the configuration, their commit to the store and their way to every host. */
package org.gooseberryring.coordination.config;
