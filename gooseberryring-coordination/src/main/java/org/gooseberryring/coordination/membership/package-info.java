/** Membership of hosts within and across failure domains; a hint on which no safety guarantee depends. */
package org.gooseberryring.coordination.membership;
