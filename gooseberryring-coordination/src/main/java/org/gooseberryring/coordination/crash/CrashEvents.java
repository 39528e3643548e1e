package org.gooseberryring.coordination.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.gooseberryring.state.EndpointProcess;

/**
 * Recent crashes of endpoints with the prompts that each endpoint was about to answer.
 *
 * <p>A crash is evidence against all parts of these prompts until an endpoint answers a request with the part. The parts
 * that explain the crashes are those that occur in the most of them; a crash that one part explains is no evidence against
 * the others. Crashes within a short time count once, unless there are many, since they may have a common cause such as
 * the loss of a failure domain.
 *
 * <p>Two parts may crash endpoints at the same time, and one of them may explain all crashes. A part that no endpoint has
 * ever answered and that was in several crashes in prompts without the explaining part is therefore found as well.
 */
final class CrashEvents {
    /** Limits memory to some hundred kilobytes; the oldest crash is evicted first. */
    static final int MAX_CRASHES = 128;

    /** Maximum number of parts that are kept for one prompt. */
    static final int MAX_PARTS = 16;

    /** Time after which a crash is no evidence any more. */
    static final long EXPIRY_MILLIS = 600_000;

    /** A crash counts after this time, when other hosts have reported what they had running and what was answered. */
    static final long SETTLE_MILLIS = 600;

    /** Crashes within this time of each other may have a common cause. */
    private static final long SEPARATION_MILLIS = 500;

    /** Crashes in which a part must occur if another part explains them as well. */
    private static final int MIN_CRASHES_OF_SECOND = 5;

    /** Separate crashes that a part must explain if endpoints have answered requests with it before. */
    private static final int MIN_SEPARATE_OF_ANSWERED = 5;

    private final EvidenceRule rule;
    private final LinkedHashMap<EndpointProcess, Crash> crashes = new LinkedHashMap<>();

    CrashEvents(EvidenceRule rule) {
        this.rule = rule;
    }

    /**
     * Crash with the parts of each prompt, in order.
     *
     * @param parts parts that occur in any prompt, since each answer looks a part up in all crashes
     */
    private record Crash(long at, Set<List<RequestPart>> prompts, Set<RequestPart> parts) {
        Crash(long at) {
            this(at, new HashSet<>(), new HashSet<>());
        }

        boolean has(RequestPart part) {
            return parts.contains(part);
        }

        void add(List<RequestPart> prompt) {
            prompts.add(prompt);
            parts.addAll(prompt);
        }

        void remove(RequestPart part) {
            if (!parts.remove(part)) {
                return;
            }
            List<List<RequestPart>> affected =
                    prompts.stream().filter(prompt -> prompt.contains(part)).toList();
            affected.forEach(prompts::remove);
            for (List<RequestPart> prompt : affected) {
                List<RequestPart> rest =
                        prompt.stream().filter(each -> !each.equals(part)).toList();
                if (!rest.isEmpty()) {
                    prompts.add(rest);
                }
            }
        }
    }

    /**
     * Part that explains crashes.
     *
     * @param part part of prompts
     * @param crashes crashes that it explains
     * @param separate crashes that do not closely follow another one
     * @param position last position in a prompt
     * @param isSequence whether the crashes have occurred one after the other, so that no common cause explains them
     * @param answeredBefore whether endpoints have answered requests with it before
     */
    record Explanation(
            RequestPart part, int crashes, int separate, int position, boolean isSequence, boolean answeredBefore) {
        private static final Comparator<Explanation> BEST = Comparator.comparing(
                        (Explanation each) -> !each.answeredBefore())
                .thenComparing(Explanation::crashes)
                .thenComparing(Explanation::position)
                .thenComparing(each -> each.part().id());

        private boolean isFrequent() {
            return !answeredBefore && crashes >= MIN_CRASHES_OF_SECOND;
        }
    }

    /** Adds a prompt that a crashed process was about to answer; the first report states the time of the crash. */
    void add(EndpointProcess process, List<RequestPart> prompt, long at) {
        Crash crash = crashes.computeIfAbsent(process, key -> new Crash(at));
        if (crash.prompts().size() < rule.maxPrompts()) {
            crash.add(List.copyOf(prompt.subList(0, Math.min(MAX_PARTS, prompt.size()))));
        }
        if (crashes.size() > MAX_CRASHES) {
            removeOldest();
        }
    }

    /** Returns the last crashes that are evidence against any part, at most the given number. */
    List<StoredCrash> newest(int count) {
        return crashes.entrySet().stream()
                .filter(each -> !each.getValue().parts().isEmpty())
                .sorted(Comparator.comparingLong(each -> -each.getValue().at()))
                .limit(count)
                .map(each -> new StoredCrash(
                        each.getKey(), each.getValue().parts(), each.getValue().at()))
                .toList();
    }

    /** Removes a part from the crashes before an endpoint answered a request with it. */
    void onAnswered(RequestPart part, long at) {
        for (Crash crash : crashes.values()) {
            if (crash.at() <= at) {
                crash.remove(part);
            }
        }
    }

    /** Returns whether any crash is evidence against a part. */
    boolean contains(RequestPart part) {
        return crashes.values().stream().anyMatch(crash -> crash.has(part));
    }

    /** Returns the number of crashes that are evidence against a part. */
    int count(RequestPart part) {
        return (int) crashes.values().stream().filter(crash -> crash.has(part)).count();
    }

    /** Returns whether any crash does not count yet. */
    boolean hasUnsettled(long now) {
        return crashes.values().stream().anyMatch(crash -> now - crash.at() < SETTLE_MILLIS);
    }

    void expire(long now) {
        crashes.values().removeIf(crash -> now - crash.at() > EXPIRY_MILLIS);
    }

    /**
     * Returns the parts that explain the crashes, the one with the most evidence first.
     *
     * @param answeredBefore tests whether endpoints have answered requests with a part before
     */
    List<Explanation> explanations(Predicate<RequestPart> answeredBefore, long now) {
        List<Crash> settled = new ArrayList<>();
        for (Crash crash : crashes.values()) {
            if (now - crash.at() >= SETTLE_MILLIS) {
                settled.add(crash);
            }
        }
        settled.sort(Comparator.comparingLong(Crash::at));
        List<Explanation> found = new ArrayList<>();
        List<Crash> unexplained = new ArrayList<>(settled);
        Explanation best = best(unexplained, answeredBefore, this::isSufficient);
        while (best != null) {
            found.add(best);
            RequestPart part = best.part();
            unexplained.removeIf(crash -> crash.has(part));
            best = best(unexplained, answeredBefore, this::isSufficient);
        }
        best = best(withoutPrompts(settled, found), answeredBefore, Explanation::isFrequent);
        while (best != null) {
            found.add(best);
            best = best(withoutPrompts(settled, found), answeredBefore, Explanation::isFrequent);
        }
        return found;
    }

    private boolean isSufficient(Explanation explanation) {
        return explanation.answeredBefore()
                ? explanation.separate() >= MIN_SEPARATE_OF_ANSWERED
                : rule.isSufficient(explanation.crashes(), explanation.separate());
    }

    /** Returns the crashes without the prompts that have an explaining part. */
    private static List<Crash> withoutPrompts(List<Crash> crashes, List<Explanation> explanations) {
        Set<RequestPart> explaining = new HashSet<>();
        explanations.forEach(each -> explaining.add(each.part()));
        List<Crash> rest = new ArrayList<>();
        for (Crash crash : crashes) {
            Crash remaining = new Crash(crash.at());
            crash.prompts().stream()
                    .filter(prompt -> prompt.stream().noneMatch(explaining::contains))
                    .forEach(remaining::add);
            rest.add(remaining);
        }
        return rest;
    }

    private Explanation best(
            Collection<Crash> unexplained, Predicate<RequestPart> answeredBefore, Predicate<Explanation> isEnough) {
        Map<RequestPart, List<Crash>> byPart = new HashMap<>();
        for (Crash crash : unexplained) {
            crash.parts()
                    .forEach(part -> byPart.computeIfAbsent(part, key -> new ArrayList<>())
                            .add(crash));
        }
        return byPart.entrySet().stream()
                .map(each -> explanation(each.getKey(), each.getValue(), answeredBefore))
                .filter(isEnough)
                .max(Explanation.BEST)
                .orElse(null);
    }

    private Explanation explanation(RequestPart part, List<Crash> explained, Predicate<RequestPart> answeredBefore) {
        int separate = 0;
        int position = 0;
        long lastSeparate = Long.MIN_VALUE / 2;
        for (Crash crash : explained) {
            for (List<RequestPart> prompt : crash.prompts()) {
                position = Math.max(position, prompt.indexOf(part));
            }
            if (crash.at() - lastSeparate >= SEPARATION_MILLIS) {
                separate++;
                lastSeparate = crash.at();
            }
        }
        boolean isSequence = rule.isSequence(separate);
        return new Explanation(part, explained.size(), separate, position, isSequence, answeredBefore.test(part));
    }

    private void removeOldest() {
        Iterator<Crash> oldest = crashes.values().iterator();
        oldest.next();
        oldest.remove();
    }
}
