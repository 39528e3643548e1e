/** Placement of artifacts on endpoints, moves between placements and replicas that follow demand. */
package org.gooseberryring.coordination.placement;
