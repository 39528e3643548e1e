/** Plans the placement of artifacts on endpoints, moves between placements, and replicas according to demand. */
package org.gooseberryring.coordination.placement;
