/** Decision components; each is single-threaded and takes the present time as an argument. */
package org.gooseberryring.coordination;
