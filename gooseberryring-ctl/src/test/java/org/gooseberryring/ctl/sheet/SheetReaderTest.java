package org.gooseberryring.ctl.sheet;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.SheetRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class SheetReaderTest {
    private static final String HEADER = "model,adapter,version,replicas,endpoints\n";

    /** Guards against sheets written by spreadsheet programs that are misread or rejected. */
    @Test
    void parsesQuotesByteOrderMarkAndWindowsLineEndings() {
        SheetFile sheet = read("\uFEFF" + (HEADER + "m,,1,2,\n\"m\",\"a\",2,1,\"e1; e2\"\n").replace("\n", "\r\n"));

        assertThat(sheet.errors()).isEmpty();
        assertThat(sheet.rows())
                .containsExactly(
                        new SheetRow(new Artifact("m", null, "1"), 2, List.of()),
                        new SheetRow(new Artifact("m", "a", "2"), 1, List.of("e1", "e2")))
                .inOrder();
    }

    /** Guards against an error that is ignored or reported at the wrong line or column. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                ",,1,1, | model",
                "m,a b,1,1, | adapter",
                "m,,,1, | version",
                "m,,1,0, | replicas",
                "m,,1,two, | replicas",
                "m,,1,1,e1;;e2 | endpoints",
                "m,,1,1,e1;e1 | endpoints",
                "ok,,1,1, | model",
                "m,,1,1 | ''",
                "m,,1,1,,x | ''",
                "m,,\"1\"x,1, | ''"
            })
    void reportsLineAndColumnOfError(String row, String column) {
        SheetFile sheet = read(HEADER + "ok,,1,1,\n\n" + row + "\n");

        assertThat(sheet.errors()).hasSize(1);
        assertThat(sheet.errors().get(0).line()).isEqualTo(4);
        assertThat(sheet.errors().get(0).column()).isEqualTo(column);
    }

    /** Guards against a sheet with reordered columns that is read in the standard order. */
    @ParameterizedTest
    @CsvSource({"''", "'model,version,adapter,replicas,endpoints\n'"})
    void rejectsOtherHeader(String text) {
        assertThat(read(text).errors()).hasSize(1);
    }

    /** Guards against one invalid row that hides the errors after it. */
    @Property(tries = 50, seed = "7")
    void reportsEveryInvalidRow(
            @ForAll @Size(min = 1, max = 20) List<@AlphaChars @StringLength(min = 1, max = 8) String> models,
            @ForAll @IntRange(min = 2, max = 4) int badEvery) {
        StringBuilder text = new StringBuilder(HEADER);
        for (int i = 0; i < models.size(); i++) {
            text.append(models.get(i)).append(",,").append(i).append(i % badEvery == 0 ? ",-1,\n" : ",1,\n");
        }

        SheetFile sheet = read(text.toString());

        assertThat(sheet.errors()).hasSize((models.size() + badEvery - 1) / badEvery);
        assertThat(sheet.errors().size() + sheet.rows().size()).isEqualTo(models.size());
    }

    private static SheetFile read(String text) {
        return SheetReader.read(text.getBytes(StandardCharsets.UTF_8));
    }
}
