package org.gooseberryring.host.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;

import org.gooseberryring.coordination.route.Router;
import org.gooseberryring.coordination.route.UnsharedCredits;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.protocol.peer.ArtifactLoad;
import org.gooseberryring.protocol.peer.DomainSummary;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/** Measures the cost of load reports, domain summaries and the adoption of a revision, by endpoints and models. */
public final class ControlLoadBenchmark {
    private static final int[] ENDPOINTS = {357, 715, 1_430};
    private static final int[] MODELS = {475, 950, 1_900};

    private ControlLoadBenchmark() {}

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope parse = new Slope("parse and apply a report of each endpoint", "CPU ms");
        Slope bytes = new Slope("bodies of one report of each endpoint", "bytes");
        Slope adopt = new Slope("router adopts a revision", "CPU ms");
        Slope heap = new Slope("router with reports", "MB");
        for (int n : ENDPOINTS) {
            FleetConfiguration c = TargetFleet.of(1_900, n, 1, 1);
            List<byte[]> reports = reports(c);
            Router router = router(c, reports);
            parse.add(n, Slope.cpuMillis(20, () -> apply(router, reports)));
            bytes.add(n, reports.stream().mapToInt(r -> r.length).sum());
            adopt.add(n, Slope.cpuMillis(20, () -> router.configured(c, 0)));
            heap.add(n, Slope.heapMegabytes(() -> router(c, reports)));
        }
        parse.print();
        bytes.print();
        adopt.print();
        heap.print();
        summaries();
    }

    private static void summaries() {
        Slope bytes = new Slope("domain summary by artifacts", "bytes");
        Slope cpu = new Slope("decode and apply one summary", "CPU ms");
        Slope heap = new Slope("six summaries in the router", "MB");
        for (int n : MODELS) {
            byte[] encoded = summary(n).toByteArray();
            Router router = new Router("d0", new Random(1), new UnsharedCredits());
            router.configured(TargetFleet.of(n, 10, 7, 1), 0);
            bytes.add(n, encoded.length);
            cpu.add(n, Slope.cpuMillis(100, () -> receive(router, encoded, "d1")));
            heap.add(n, Slope.heapMegabytes(() -> {
                Router fresh = new Router("d0", new Random(1), new UnsharedCredits());
                fresh.configured(TargetFleet.of(n, 10, 7, 1), 0);
                for (int d = 1; d < 7; d++) {
                    receive(fresh, encoded, "d" + d);
                }
                return fresh;
            }));
        }
        bytes.print();
        cpu.print();
        heap.print();
    }

    private static DomainSummary summary(int artifacts) {
        DomainSummary.Builder builder =
                DomainSummary.newBuilder().setFailureDomain("d1").setSequence(1_790_000_000_000L);
        for (int i = 0; i < artifacts; i++) {
            builder.addArtifacts(ArtifactLoad.newBuilder()
                    .setArtifact(TargetFleet.model(i).toString())
                    .setReplicas(3)
                    .setFreeConcurrency(200));
        }
        return builder.build();
    }

    private static void receive(Router router, byte[] encoded, String domain) {
        try {
            DomainSummary summary = DomainSummary.parseFrom(encoded);
            List<org.gooseberryring.coordination.route.ArtifactLoad> loads = new ArrayList<>();
            for (ArtifactLoad load : summary.getArtifactsList()) {
                String name = load.getArtifact();
                Artifact artifact =
                        new Artifact(name.substring(0, name.indexOf('@')), null, name.substring(name.indexOf('@') + 1));
                loads.add(new org.gooseberryring.coordination.route.ArtifactLoad(
                        artifact, load.getReplicas(), load.getFreeConcurrency()));
            }
            router.domainSummary(domain, System.nanoTime(), loads, 0);
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<byte[]> reports(FleetConfiguration c) {
        Random random = new Random(1);
        List<byte[]> reports = new ArrayList<>();
        c.endpoints().keySet().forEach(id -> reports.add(Json.write(TargetFleet.report(c, id, random.nextInt(100)))));
        return reports;
    }

    private static Router router(FleetConfiguration c, List<byte[]> reports) {
        Router router = new Router("d0", new Random(1), new UnsharedCredits());
        router.configured(c, 0);
        apply(router, reports);
        return router;
    }

    private static void apply(Router router, List<byte[]> reports) {
        for (byte[] bytes : reports) {
            LoadReport r = Json.read(bytes, LoadReport.class);
            router.onLoadReport(
                    r.endpoint(),
                    r.incarnation(),
                    r.running(),
                    r.waiting(),
                    r.capacity(),
                    new HashSet<>(r.loaded()),
                    r.ageMillis(),
                    1_000);
        }
    }
}
