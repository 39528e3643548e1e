package org.gooseberryring.ctl.sheet;

import java.util.List;

import org.gooseberryring.state.SheetRow;

/**
 * Parsed sheet; the rows must not be used if there are errors.
 *
 * @param rows valid rows
 * @param lines line number of each row in the file
 * @param errors all errors found
 */
public record SheetFile(List<SheetRow> rows, List<Long> lines, List<SheetError> errors) {
    public SheetFile {
        rows = List.copyOf(rows);
        lines = List.copyOf(lines);
        errors = List.copyOf(errors);
    }

    public boolean isValid() {
        return errors.isEmpty();
    }
}
