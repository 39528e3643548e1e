package org.gooseberryring.coordination.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.Verdict;

/**
 * Hosts and endpoints in virtual time, and callers some of whose prompts have a part that crashes each endpoint that
 * begins to answer it.
 *
 * <p>Prompts have a system part, a part of the organisation and a part of their own. The crashing requests have the
 * parts of one organisation that also sends sound requests.
 */
final class PartWorld {
    /** Time after which a host that has heard of something must act on it. */
    static final long CONTACT_MILLIS = 3_000;

    /** Crash from which the bound on further requests counts. */
    private static final int DECIDING_CRASH = 5;

    private static final int SYSTEM_PARTS = 3;
    private static final int ORGANISATIONS = 30;
    private static final long CRASHING_PART = 0xdead_0000L;
    private static final long OWN_PARTS = 1_000_000;
    private static final long TICK_MILLIS = 50;
    private static final long DOWN_MILLIS = 3_000;
    private static final long CALLER_MILLIS = 5_000;
    private static final RequestTarget TARGET = new RequestTarget.RoutedTarget("llm", "m", null);

    /** Position of the crashing part among the parts that requests share. */
    enum Position {
        FIRST,
        MIDDLE,
        LAST
    }

    /**
     * Size and load of a world.
     *
     * @param hosts number of hosts
     * @param endpoints number of endpoints
     * @param slots requests that an endpoint runs concurrently
     * @param perSecond requests per second of all callers
     * @param crashingShare share of the requests that crash endpoints
     * @param crashingParts number of parts that crash endpoints; each crashing request has one of them
     * @param position position of the crashing part
     */
    record Settings(
            int hosts,
            int endpoints,
            int slots,
            double perSecond,
            double crashingShare,
            int crashingParts,
            Position position) {}

    private record Event(long at, long order, Runnable action) {}

    /** Request at an endpoint. */
    private static final class Run {
        private final PartHost host;
        private final RequestSpec spec;
        private final int attempt;
        private final long sentAt;
        private long startedAt = -1;

        private Run(PartHost host, RequestSpec spec, int attempt, long sentAt) {
            this.host = host;
            this.spec = spec;
            this.attempt = attempt;
            this.sentAt = sentAt;
        }
    }

    /** Process of an endpoint. */
    private static final class Engine {
        private final String id;
        private final List<Run> running = new ArrayList<>();
        private final List<Run> waiting = new ArrayList<>();
        private boolean up = true;

        private Engine(String id) {
            this.id = id;
        }
    }

    /** Sound request that shares the organisation of the crashing ones. */
    private record Related(long at, boolean[] begun) {}

    private final Settings settings;
    private final Random random;
    private final List<PartHost> hosts = new ArrayList<>();
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<String, Related> related = new HashMap<>();
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> crashingSentAt = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private long now;
    private long order;
    private int starts;
    private long crashingFrom = Long.MAX_VALUE;
    private long crashingUntil = Long.MAX_VALUE;

    PartWorld(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        for (int i = 0; i < settings.hosts(); i++) {
            hosts.add(new PartHost("host" + i, settings.hosts(), seed + i));
        }
        for (int i = 0; i < settings.endpoints(); i++) {
            startEngine();
        }
    }

    /** Sends crashing requests from now until the given time from now. */
    void crashFor(long millis) {
        crashingFrom = now;
        crashingUntil = now + millis;
    }

    void run(long millis) {
        long end = now + millis;
        long nextTick = now;
        double nextRequest = now;
        while (now < end) {
            now++;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            for (;
                    nextRequest <= now;
                    nextRequest += -Math.log(1 - random.nextDouble()) * 1_000 / settings.perSecond()) {
                request();
            }
            if (now >= nextTick) {
                nextTick = now + TICK_MILLIS;
                hosts.forEach(host -> apply(host, host.tick(now)));
            }
        }
    }

    /** Returns the crashing requests that reached endpoints and were sent after the bound, 0 before the fifth crash. */
    int requestsAfterBound() {
        if (crashes.size() < DECIDING_CRASH) {
            return 0;
        }
        long bound = crashes.get(DECIDING_CRASH - 1) + CONTACT_MILLIS;
        return (int) crashingSentAt.stream().filter(at -> at > bound).count();
    }

    int crashes() {
        return crashes.size();
    }

    /** Returns the share of the sound requests of the organisation that began before the first crashing request. */
    double begunBefore() {
        return begun(0, crashingFrom);
    }

    /** Returns the share that began from the time on at which service must be back, while crashing requests come. */
    double begunAfterBound() {
        long decisive = crashes.get(Math.min(crashes.size(), DECIDING_CRASH) - 1);
        return begun(decisive + 2 * CONTACT_MILLIS, crashingUntil);
    }

    private double begun(long from, long until) {
        List<Related> sent = related.values().stream()
                .filter(each -> each.at() >= from && each.at() < until)
                .toList();
        return sent.stream().filter(each -> each.begun()[0]).count() / (double) Math.max(1, sent.size());
    }

    private void request() {
        boolean crashing = now >= crashingFrom && now < crashingUntil && random.nextDouble() < settings.crashingShare();
        int organisation = crashing ? 0 : random.nextInt(ORGANISATIONS);
        PartHost host = hosts.get(random.nextInt(hosts.size()));
        String id = "r" + order++;
        List<Long> parts = parts(organisation, crashing);
        if (!crashing && organisation == 0) {
            related.put(id, new Related(now, new boolean[1]));
        }
        apply(host, host.arrived(spec(id, "o" + organisation, parts, now), now));
    }

    private List<Long> parts(int organisation, boolean crashing) {
        List<Long> parts = new ArrayList<>(List.of((long) organisation % SYSTEM_PARTS, 100L + organisation));
        if (crashing) {
            parts.add(settings.position().ordinal(), CRASHING_PART + random.nextInt(settings.crashingParts()));
        }
        parts.add(OWN_PARTS + order++);
        return parts;
    }

    private static RequestSpec spec(String id, String organisation, List<Long> parts, long now) {
        List<PromptShape.Part> shape =
                parts.stream().map(part -> new PromptShape.Part(part, 1_000)).toList();
        PromptShape prompt = new PromptShape(shape, 1_000 * parts.size(), 100);
        RequestPolicy policy =
                new RequestPolicy("llm", 1, true, false, true, true, 1, now + 800, now + CALLER_MILLIS, prompt);
        return new RequestSpec(
                id, organisation, TARGET, PriorityClass.HIGH, 0, 0, id, false, null, now + CALLER_MILLIS, policy);
    }

    private void apply(PartHost host, List<RequestEffect> effects) {
        for (RequestEffect effect : effects) {
            if (effect instanceof RequestEffect.Dispatch dispatch) {
                later(1 + random.nextInt(5), () -> arrive(host, dispatch));
            } else if (effect instanceof RequestEffect.SpreadQuarantine notice) {
                toOthers(host, other -> other.onQuarantineReported(host.id(), notice, now));
            }
        }
    }

    /** Passes a notice to the other hosts. */
    private void toOthers(PartHost host, PartHost.Delivery delivery) {
        for (PartHost other : hosts) {
            if (other != host) {
                later(50 + random.nextInt(400), () -> apply(other, delivery.deliver(other)));
            }
        }
    }

    private void arrive(PartHost host, RequestEffect.Dispatch dispatch) {
        RequestSpec spec = host.spec(dispatch.requestId());
        Engine engine = engines.get(dispatch.endpoint());
        if (engine == null || !engine.up) {
            AttemptOutcome refused = new AttemptOutcome(Verdict.NOT_RUN, 0, 0, false, false, -1, false, 0);
            apply(host, host.attemptEnded(dispatch, refused, now));
            return;
        }
        if (isCrashing(spec)) {
            crashingSentAt.add(now);
        }
        engine.waiting.add(new Run(host, spec, dispatch.attempt(), now));
        startWaiting(engine);
    }

    private void startWaiting(Engine engine) {
        while (engine.up && engine.running.size() < settings.slots() && !engine.waiting.isEmpty()) {
            Run run = engine.waiting.remove(0);
            engine.running.add(run);
            later(50 + random.nextInt(300), () -> begin(engine, run));
        }
    }

    private void begin(Engine engine, Run run) {
        if (!engine.running.contains(run)) {
            return;
        }
        if (isCrashing(run.spec)) {
            crashes.add(now);
            crash(engine);
            return;
        }
        run.startedAt = now;
        if (related.containsKey(run.spec.id())) {
            related.get(run.spec.id()).begun()[0] = true;
        }
        apply(run.host, run.host.onResponseStarted(run.spec.id(), run.attempt, now));
        later(200 + random.nextInt(1_200), () -> complete(engine, run));
    }

    private void complete(Engine engine, Run run) {
        if (engine.running.remove(run)) {
            long firstToken = run.startedAt - run.sentAt;
            AttemptOutcome outcome =
                    new AttemptOutcome(Verdict.COMPLETED, 200, 0, true, false, firstToken, true, now - run.sentAt);
            apply(run.host, run.host.attemptEnded(run.spec.id(), run.attempt, outcome, now));
            startWaiting(engine);
        }
    }

    /** Ends a process; all its requests break, and another process starts some seconds later. */
    private void crash(Engine engine) {
        engine.up = false;
        List<Run> broken = new ArrayList<>(engine.running);
        broken.addAll(engine.waiting);
        engine.running.clear();
        engine.waiting.clear();
        for (Run run : broken) {
            long firstToken = run.startedAt < 0 ? -1 : run.startedAt - run.sentAt;
            AttemptOutcome outcome = new AttemptOutcome(
                    Verdict.MAY_HAVE_RUN, 0, 0, firstToken >= 0, false, firstToken, true, now - run.sentAt);
            later(
                    1 + random.nextInt(10),
                    () -> apply(run.host, run.host.attemptEnded(run.spec.id(), run.attempt, outcome, now)));
            later(
                    15 + random.nextInt(60),
                    () -> apply(run.host, run.host.onEndpointCrashed(engine.id, run.spec, outcome, now)));
        }
        later(DOWN_MILLIS, () -> {
            engines.remove(engine.id);
            hosts.forEach(host -> apply(host, host.onEndpointGone(engine.id, now)));
            startEngine();
        });
    }

    private void startEngine() {
        Engine engine = new Engine("e" + starts++);
        engines.put(engine.id, engine);
        hosts.forEach(host -> apply(host, host.onEndpointRegistered(engine.id, settings.slots(), now)));
    }

    private boolean isCrashing(RequestSpec spec) {
        return spec.handling().prompt().parts().stream()
                .anyMatch(part -> part.id() >= CRASHING_PART && part.id() < CRASHING_PART + settings.crashingParts());
    }

    private void later(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }
}
