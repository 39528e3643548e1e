/** Commands and their options. */
package org.gooseberryring.ctl.command;
