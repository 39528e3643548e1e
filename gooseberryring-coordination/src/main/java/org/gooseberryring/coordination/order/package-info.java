/** Orders to endpoints, the memory reservations for these orders, and the budget of the weight store. */
package org.gooseberryring.coordination.order;
