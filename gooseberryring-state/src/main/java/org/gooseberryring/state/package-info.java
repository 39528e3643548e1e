/** Immutable model of the fleet, verdicts and error codes. */
package org.gooseberryring.state;
