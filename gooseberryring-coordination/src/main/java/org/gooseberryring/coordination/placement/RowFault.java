package org.gooseberryring.coordination.placement;

import org.gooseberryring.state.Artifact;

/**
 * Reason why a row of the sheet cannot be placed.
 *
 * @param row index of the row in the sheet
 * @param artifact artifact of the row
 * @param reason explanation for the operator
 */
public record RowFault(int row, Artifact artifact, String reason) {}
