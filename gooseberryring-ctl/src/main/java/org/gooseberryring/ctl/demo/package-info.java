/** Files and requests of the demonstration fleet. */
package org.gooseberryring.ctl.demo;
