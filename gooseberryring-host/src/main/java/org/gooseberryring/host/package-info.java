/** Assembly of an entry host. */
package org.gooseberryring.host;
