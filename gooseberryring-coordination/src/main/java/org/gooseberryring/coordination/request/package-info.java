/** Life of a caller's request from arrival to its single final answer. */
package org.gooseberryring.coordination.request;
