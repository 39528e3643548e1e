package org.gooseberryring.host.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.gooseberryring.coordination.membership.DetectorSettings;
import org.gooseberryring.coordination.membership.FailureDetector;
import org.gooseberryring.coordination.membership.Member;
import org.gooseberryring.coordination.membership.MemberState;
import org.gooseberryring.coordination.membership.MemberTable;
import org.gooseberryring.coordination.membership.MembershipEffect;
import org.gooseberryring.protocol.peer.MemberUpdate;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.Probe;

/** Measures membership of one failure domain by hosts: CPU time, messages and bytes per host and second. */
public final class MembershipBenchmark {
    private static final int[] HOSTS = {50, 100, 200};
    private static final int MEASURED_SECONDS = 20;
    // Each start update is sent 24 times to spread to 200 hosts; for the updates of all hosts this takes about 150 s.
    private static final int SETTLE_SECONDS = 200;
    private static final int TICK_MILLIS = 50;

    private final Map<String, FailureDetector> detectors = new HashMap<>();
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private long now;
    private long messages;
    private long bytes;

    private MembershipBenchmark(int hosts) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            String address = "10.0." + i / 256 + "." + i % 256;
            members.add(new Member(
                    "host-" + i, 1_790_000_000_000L, 0, MemberState.ALIVE, "d0", address + ":7000", address + ":7001"));
        }
        for (int i = 0; i < hosts; i++) {
            FailureDetector detector = new FailureDetector(
                    members.get(i), DetectorSettings.defaults(), new MemberTable(), new Random(i), now);
            detector.onSeeds(members, now);
            detectors.put(members.get(i).host(), detector);
        }
    }

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope cpu = new Slope("membership by hosts", "CPU ms per host and second");
        Slope sent = new Slope("messages", "messages sent per host and second");
        Slope volume = new Slope("bytes sent", "bytes per host and second, without HMAC and TCP");
        Slope started = new Slope("bytes sent while all hosts have just started", "bytes per host and second");
        Slope heap = new Slope("detector", "MB per host");
        for (int n : HOSTS) {
            MembershipBenchmark benchmark = new MembershipBenchmark(n);
            benchmark.run(MEASURED_SECONDS);
            started.add(n, benchmark.bytes / (double) MEASURED_SECONDS / n);
            benchmark.run(SETTLE_SECONDS);
            benchmark.messages = 0;
            benchmark.bytes = 0;
            long start = benchmark.now;
            double millis = Slope.cpuMillis(1, () -> benchmark.run(MEASURED_SECONDS));
            double hostSeconds = (benchmark.now - start) / 1e3 * n;
            cpu.add(n, millis / MEASURED_SECONDS / n);
            sent.add(n, benchmark.messages / hostSeconds);
            volume.add(n, benchmark.bytes / hostSeconds);
            heap.add(n, Slope.heapMegabytes(() -> new MembershipBenchmark(n)) / n);
        }
        cpu.print();
        sent.print();
        volume.print();
        started.print();
        heap.print();
    }

    private void run(int seconds) {
        long end = now + seconds * 1_000L;
        while (now < end) {
            now += TICK_MILLIS;
            detectors.forEach((host, detector) -> execute(host, detector.onTick(now)));
            while (!queue.isEmpty()) {
                queue.poll().run();
            }
        }
    }

    private void execute(String from, List<MembershipEffect> effects) {
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.SendProbe p) {
                count(from, p.to(), p.updates());
                FailureDetector to = detectors.get(p.to());
                queue.add(() -> execute(p.to(), to.onProbe(from, p.probeId(), p.target(), p.updates(), now)));
            } else if (effect instanceof MembershipEffect.SendReply r) {
                count(from, r.to(), r.updates());
                FailureDetector to = detectors.get(r.to());
                queue.add(() -> execute(r.to(), to.onReply(from, r.probeId(), r.updates(), now)));
            }
        }
    }

    /** Counts a message and its serialized size on a peer link; a reply has the same fields as a probe. */
    private void count(String from, String to, List<Member> updates) {
        Probe.Builder probe = Probe.newBuilder().setProbeId(1_000).setConfigurationRevision(100_000);
        for (Member m : updates) {
            probe.addUpdates(MemberUpdate.newBuilder()
                    .setHost(m.host())
                    .setIncarnation(m.incarnation())
                    .setFailureDomain(m.failureDomain())
                    .setPeerAddress(m.peerAddress())
                    .setRelayAddress(m.relayAddress()));
        }
        messages++;
        bytes += PeerMessage.newBuilder()
                .setSender(from)
                .setSenderIncarnation(1)
                .setSequence(1_000)
                .setReceiver(to)
                .setProbe(probe)
                .build()
                .toByteArray()
                .length;
    }
}
