/** Parser for the planners' sheet. */
package org.gooseberryring.ctl.sheet;
