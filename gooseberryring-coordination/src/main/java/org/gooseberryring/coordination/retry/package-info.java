/** Decisions on retries and on requests that crash endpoints. */
package org.gooseberryring.coordination.retry;
