package org.gooseberryring.coordination.crash;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/** Text form of verdicts for tests, one on each line. */
final class TextVerdictCodec implements VerdictCodec {
    @Override
    public byte[] encode(List<PartVerdict> verdicts) {
        return verdicts.stream()
                .map(each -> each.part().service()
                        + ' '
                        + each.part().id()
                        + ' '
                        + each.generation()
                        + ' '
                        + each.ended()
                        + ' '
                        + each.confidence())
                .collect(Collectors.joining("\n"))
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public List<PartVerdict> decode(byte[] content) {
        return new String(content, StandardCharsets.UTF_8)
                .lines()
                .map(line -> line.split(" "))
                .map(words -> new PartVerdict(
                        new PromptPart(words[0], Long.parseLong(words[1])),
                        Integer.parseInt(words[2]),
                        Boolean.parseBoolean(words[3]),
                        Integer.parseInt(words[4])))
                .toList();
    }
}
