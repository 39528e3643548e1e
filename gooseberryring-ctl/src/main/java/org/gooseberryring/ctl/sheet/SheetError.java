package org.gooseberryring.ctl.sheet;

/**
 * Fault in a sheet.
 *
 * @param line line in the file, from 1
 * @param column name of the column, or empty if the fault concerns the whole line
 * @param reason what is wrong
 */
public record SheetError(long line, String column, String reason) {
    @Override
    public String toString() {
        return "line " + line + (column.isEmpty() ? "" : ", column " + column) + ": " + reason;
    }
}
