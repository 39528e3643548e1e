package org.gooseberryring.ctl.sheet;

/**
 * Error in a sheet.
 *
 * @param line line in the file, from 1
 * @param column name of the column, or empty if the error concerns the complete line
 * @param reason description of the error
 */
public record SheetError(long line, String column, String reason) {
    @Override
    public String toString() {
        return "line " + line + (column.isEmpty() ? "" : ", column " + column) + ": " + reason;
    }
}
