/** Detection of prompt parts and whole requests that crash the endpoints that process them. */
package org.gooseberryring.coordination.crash;
