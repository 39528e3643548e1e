/** Request thread: runs the request engine and passes on its effects. */
package org.gooseberryring.host.engine;
