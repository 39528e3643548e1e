/** Exchange of versioned state between hosts through relays in each failure domain. */
package org.gooseberryring.coordination.exchange;
