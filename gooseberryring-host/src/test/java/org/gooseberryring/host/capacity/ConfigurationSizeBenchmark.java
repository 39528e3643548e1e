package org.gooseberryring.host.capacity;

import java.util.List;

import org.gooseberryring.coordination.config.ConfigurationDelta;
import org.gooseberryring.coordination.config.HeadDocument;
import org.gooseberryring.host.config.JsonDocumentCodec;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.FleetConfiguration;

/** Measures size, parse time and memory of {@code config/head} and the cost of a delta, by models and endpoints. */
public final class ConfigurationSizeBenchmark {
    private static final int[] ENDPOINTS = {0, 2_500, 5_000, 10_000};
    private static final int[] MODELS = {475, 950, 1_900};
    private static final int ORGANISATIONS = 100;

    private ConfigurationSizeBenchmark() {}

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope bytes = new Slope("head size by endpoints, 1,900 models", "bytes");
        Slope parse = new Slope("head parse by endpoints, 1,900 models", "CPU ms");
        Slope heap = new Slope("head heap by endpoints, 1,900 models", "MB");
        Slope delta = new Slope("difference between two revisions by endpoints", "CPU ms");
        JsonDocumentCodec codec = new JsonDocumentCodec();
        for (int n : ENDPOINTS) {
            FleetConfiguration c = TargetFleet.of(1_900, n, 7, ORGANISATIONS);
            byte[] encoded = codec.encodeHead(new HeadDocument(c, List.of()));
            bytes.add(n, encoded.length);
            parse.add(n, Slope.cpuMillis(30, () -> codec.decodeHead(encoded)));
            heap.add(n, Slope.heapMegabytes(() -> codec.decodeHead(encoded)));
            if (n > 0) {
                FleetConfiguration next = TargetFleet.next(c);
                delta.add(
                        n,
                        Slope.cpuMillis(
                                30, () -> ConfigurationDelta.between(c, next).applyTo(c)));
                System.out.println("difference bytes " + Json.write(ConfigurationDelta.between(c, next)).length);
            }
        }
        bytes.print();
        parse.print();
        heap.print();
        delta.print();
        Slope byModel = new Slope("head size by models, no endpoints", "bytes");
        for (int n : MODELS) {
            byModel.add(
                    n, codec.encodeHead(new HeadDocument(TargetFleet.of(n, 0, 7, ORGANISATIONS), List.of())).length);
        }
        byModel.print();
        Slope byOrganisation = new Slope("head size by organisations with one key each", "bytes");
        for (int n : new int[] {10, 100, 1_000}) {
            byOrganisation.add(n, codec.encodeHead(new HeadDocument(TargetFleet.of(0, 0, 7, n), List.of())).length);
        }
        byOrganisation.print();
    }
}
