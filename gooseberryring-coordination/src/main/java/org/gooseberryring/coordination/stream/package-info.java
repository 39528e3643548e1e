/** Software versions that began the streams of callers, so that no other version continues them. */
package org.gooseberryring.coordination.stream;
