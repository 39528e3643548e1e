/** Applies changes to the configuration, commits them to the store and distributes them to all hosts. */
package org.gooseberryring.coordination.config;
