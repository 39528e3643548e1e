/** Reading of the planners' sheet. */
package org.gooseberryring.ctl.sheet;
