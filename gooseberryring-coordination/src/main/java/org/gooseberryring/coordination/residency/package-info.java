/** Decides which models and adapters are loaded on the endpoints of a failure domain. */
package org.gooseberryring.coordination.residency;
