/** Orders to endpoints, the reservations that cover them, and the share of the weight store that they use. */
package org.gooseberryring.coordination.order;
