/** Detection of prompt parts that crash the endpoints that process them. */
package org.gooseberryring.coordination.crash;
