/** Command line for operators. */
package org.gooseberryring.ctl;
