/** Operator command line. */
package org.gooseberryring.ctl;
