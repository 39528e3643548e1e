package org.gooseberryring.coordination.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.limit.Admission;
import org.gooseberryring.coordination.limit.TokenAdmission;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.FairRequestQueue;
import org.gooseberryring.coordination.request.FleetUpdateHandler;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestQueue;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.route.Router;
import org.gooseberryring.coordination.route.UnsharedCredits;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.Verdict;

/** Hosts that serve ordinary requests while callers repeatedly send one request that crashes every endpoint. */
final class CrashWorld {
    private static final Artifact ARTIFACT = new Artifact("m", null, "1");
    private static final String POISON = "poison";
    private static final int ENDPOINTS = 12;
    private static final long STEP_MILLIS = 20;
    private static final long NOTICE_MILLIS = 400;

    private record Event(long at, long order, Runnable action) {}

    private record Running(int host, String request, int attempt) {}

    private static final class Unlimited implements TokenAdmission {
        @Override
        public Admission reserve(String requestId, String organisation, long tokens, long now) {
            return Admission.admitted();
        }

        @Override
        public void settle(String requestId, long usedTokens, long now) {
            // No tokens are reserved.
        }
    }

    private final Random random;
    private final boolean noticesArrive;
    private final boolean idempotent;
    private final List<RequestEngine> hosts = new ArrayList<>();
    private final List<FleetUpdateHandler> fleets = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<String, List<Running>> running = new TreeMap<>();
    private final Map<String, Integer> incarnations = new HashMap<>();
    private final Map<String, Long> downUntil = new HashMap<>();
    private final Map<String, RequestSpec> specs = new HashMap<>();
    private long now = 1_000;
    private long order;
    private int losses;
    private int completedOrdinary;

    CrashWorld(long seed, int hostCount, boolean noticesArrive, boolean idempotent) {
        this.random = new Random(seed);
        this.noticesArrive = noticesArrive;
        this.idempotent = idempotent;
        FleetConfiguration configuration = configuration();
        for (int i = 0; i < hostCount; i++) {
            RequestQueue queue = new FairRequestQueue(QueueSettings.defaults());
            Router router = new Router("d", new Random(seed + i), new UnsharedCredits());
            hosts.add(new RequestEngine(
                    new Unlimited(),
                    queue,
                    router,
                    new RetryPolicy(new RetryBudget()),
                    new CrashSuspects(),
                    new CrashingParts("host" + i),
                    new StreamVersions(),
                    60_000));
            fleets.add(new FleetUpdateHandler(hosts.get(i), router, queue));
            fleets.get(i).configured(configuration, now);
        }
    }

    /**
     * Runs callers that each send one copy of the crashing request at a time, and returns the number of endpoint
     * losses.
     */
    int run(int callers, long millis) {
        for (int i = 0; i < callers; i++) {
            later(random.nextInt(50), () -> send(POISON, idempotent));
        }
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            reportLoads();
            if (random.nextInt(3) == 0) {
                send("ordinary" + order, true);
            }
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            for (int i = 0; i < hosts.size(); i++) {
                apply(i, hosts.get(i).tick(now));
            }
        }
        return losses;
    }

    int completedOrdinary() {
        return completedOrdinary;
    }

    private void send(String digest, boolean mayRepeat) {
        String id = digest + "-" + order++;
        int host = random.nextInt(hosts.size());
        RequestSpec spec = new RequestSpec(
                id,
                "org",
                new RequestTarget.ModelTarget(ARTIFACT),
                PriorityClass.NORMAL,
                1,
                0,
                digest,
                mayRepeat,
                null,
                now + 20_000);
        specs.put(id, spec);
        apply(host, hosts.get(host).arrived(spec, now));
    }

    private void apply(int host, List<RequestEffect> effects) {
        for (RequestEffect effect : effects) {
            if (effect instanceof RequestEffect.Dispatch dispatch) {
                start(host, dispatch);
            } else if (effect instanceof RequestEffect.Refuse refuse) {
                onRefused(refuse);
            } else if (effect instanceof RequestEffect.EndUnstarted end && end.refusal() != null) {
                onRefused(end.refusal());
            } else if (effect instanceof RequestEffect.SpreadRequestCrash notice && noticesArrive) {
                spread(host, notice);
            }
        }
    }

    private void onRefused(RequestEffect.Refuse refuse) {
        if (specs.get(refuse.requestId()).digest().equals(POISON)) {
            later(1_000 + random.nextInt(200), () -> send(POISON, idempotent));
        }
    }

    private void spread(int host, RequestEffect.SpreadRequestCrash notice) {
        for (int other = 0; other < hosts.size(); other++) {
            int target = other;
            if (target != host) {
                later(random.nextInt((int) NOTICE_MILLIS), () -> {
                    apply(target, hosts.get(target).crashReported("host" + host, notice.crash(), now));
                });
            }
        }
    }

    private void start(int host, RequestEffect.Dispatch dispatch) {
        String endpoint = dispatch.endpoint();
        Running run = new Running(host, dispatch.requestId(), dispatch.attempt());
        running.computeIfAbsent(endpoint, key -> new ArrayList<>()).add(run);
        boolean poison = specs.get(dispatch.requestId()).digest().equals(POISON);
        if (downUntil.getOrDefault(endpoint, 0L) > now) {
            later(0, () -> end(endpoint, run, Verdict.NOT_RUN, true));
        } else if (poison) {
            later(10 + random.nextInt(50), () -> crash(endpoint, run));
        } else {
            later(20 + random.nextInt(400), () -> end(endpoint, run, Verdict.COMPLETED, false));
        }
    }

    private void crash(String endpoint, Running cause) {
        if (!running.get(endpoint).contains(cause)) {
            return;
        }
        losses++;
        incarnations.merge(endpoint, 1, Integer::sum);
        downUntil.put(endpoint, now + 1_000);
        for (Running run : List.copyOf(running.get(endpoint))) {
            end(endpoint, run, Verdict.MAY_HAVE_RUN, true);
        }
    }

    private void end(String endpoint, Running run, Verdict verdict, boolean lost) {
        if (!running.get(endpoint).remove(run)) {
            return;
        }
        if (verdict == Verdict.COMPLETED) {
            completedOrdinary++;
        }
        AttemptOutcome outcome = new AttemptOutcome(verdict, 0, 0, false, lost, -1);
        apply(run.host(), hosts.get(run.host()).attemptEnded(run.request(), run.attempt(), outcome, now));
    }

    private void reportLoads() {
        for (int i = 0; i < ENDPOINTS; i++) {
            String endpoint = "e" + i;
            if (downUntil.getOrDefault(endpoint, 0L) > now) {
                continue;
            }
            int load = running.getOrDefault(endpoint, List.of()).size();
            for (int host = 0; host < hosts.size(); host++) {
                long incarnation = incarnations.getOrDefault(endpoint, 0);
                apply(host, fleets.get(host).onLoadReport(endpoint, incarnation, load, 0, 4, Set.of(ARTIFACT), 0, now));
            }
        }
    }

    private void later(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    private static FleetConfiguration configuration() {
        TreeMap<String, Endpoint> endpoints = new TreeMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            String id = "e" + i;
            endpoints.put(id, new Endpoint(id, EndpointKind.MODEL, "d", "127.0.0.1:1", 0, 4, true, false));
        }
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        domains.put("d", new FailureDomain("d", "r", true));
        return new FleetConfiguration(1, null, null, null, null, domains, endpoints, null, null);
    }
}
