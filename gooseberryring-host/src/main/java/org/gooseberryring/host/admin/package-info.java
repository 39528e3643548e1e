/** Administration interface for operators. */
package org.gooseberryring.host.admin;
