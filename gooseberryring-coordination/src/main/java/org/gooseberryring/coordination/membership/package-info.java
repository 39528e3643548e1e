/** Membership of hosts within and across failure domains; a hint, never a basis for safety. */
package org.gooseberryring.coordination.membership;
