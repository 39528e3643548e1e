/** Decisions on which models and adapters the endpoints of a failure domain hold. */
package org.gooseberryring.coordination.residency;
