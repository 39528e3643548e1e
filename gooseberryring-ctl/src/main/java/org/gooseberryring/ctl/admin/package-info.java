/** Client of the administration interface. */
package org.gooseberryring.ctl.admin;
