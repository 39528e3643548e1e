/** Commands of {@code gooseberryctl} and their options. */
package org.gooseberryring.ctl.command;
