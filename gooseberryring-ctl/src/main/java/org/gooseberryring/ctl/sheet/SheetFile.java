package org.gooseberryring.ctl.sheet;

import java.util.List;

import org.gooseberryring.state.SheetRow;

/**
 * Sheet as it was read; the rows must not be used if there are errors.
 *
 * @param rows rows without faults
 * @param lines line of each row in the file
 * @param errors every fault that was found
 */
public record SheetFile(List<SheetRow> rows, List<Long> lines, List<SheetError> errors) {
    public SheetFile {
        rows = List.copyOf(rows);
        lines = List.copyOf(lines);
        errors = List.copyOf(errors);
    }

    public boolean valid() {
        return errors.isEmpty();
    }
}
