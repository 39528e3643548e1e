package org.gooseberryring.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Checks {@code docs/fault-matrix.md} against the tests of all modules. */
class FaultMatrixTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final Path MATRIX = ROOT.resolve("docs/fault-matrix.md");
    private static final Pattern TEST_NAME = Pattern.compile("`([A-Z]\\w+)#(\\w+)`");
    private static final Pattern REQUIREMENT_SECTION = Pattern.compile("(?m)^## R(\\d+)\\. ");
    private static final int REQUIREMENT_COUNT = 14;

    /** Guards against a matrix that refers to a test which was renamed or never existed. */
    @Test
    void referencedTestsExist() throws IOException {
        Map<String, String> sources = testSources();
        List<String> missing = new ArrayList<>();
        for (MatchResult match :
                TEST_NAME.matcher(Files.readString(MATRIX)).results().toList()) {
            String source = sources.get(match.group(1));
            if (source == null || !source.contains(" " + match.group(2) + "(")) {
                missing.add(match.group());
            }
        }

        assertWithMessage("tests named in the fault matrix that do not exist")
                .that(missing)
                .isEmpty();
    }

    /** Guards against a requirement that is missing from the matrix. */
    @Test
    void eachRequirementHasSection() throws IOException {
        List<String> sections = REQUIREMENT_SECTION
                .matcher(Files.readString(MATRIX))
                .results()
                .map(section -> section.group(1))
                .distinct()
                .toList();

        assertThat(sections).hasSize(REQUIREMENT_COUNT);
    }

    private static Map<String, String> testSources() throws IOException {
        Map<String, String> sources = new HashMap<>();
        try (Stream<Path> modules = Files.list(ROOT)) {
            for (Path module : modules.toList()) {
                Path tests = module.resolve("src/test/java");
                if (Files.isDirectory(tests)) {
                    addSources(tests, sources);
                }
            }
        }
        return sources;
    }

    private static void addSources(Path tests, Map<String, String> sources) throws IOException {
        try (Stream<Path> files = Files.walk(tests)) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith("Test.java")).toList()) {
                String name = file.getFileName().toString().replace(".java", "");
                sources.put(name, Files.readString(file));
            }
        }
    }
}
