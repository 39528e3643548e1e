/** Interface to operators. */
package org.gooseberryring.host.admin;
