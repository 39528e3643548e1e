/** Retry policies, retry budgets and detection of requests that crash endpoints. */
package org.gooseberryring.coordination.retry;
