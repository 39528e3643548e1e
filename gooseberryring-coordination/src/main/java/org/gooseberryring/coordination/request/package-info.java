/** Lifecycle of a caller's request from arrival to its single final response. */
package org.gooseberryring.coordination.request;
