package org.gooseberryring.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.gooseberryring.state.Artifact;

/** Running and waiting requests of an engine stand-in, with the number of starts and completions by request id. */
final class EngineRuns {
    private static final int MAX_WAITING_REQUESTS = 10_000;

    private final Set<EngineRun> running = new LinkedHashSet<>();
    private final Deque<EngineRun> waiting = new ArrayDeque<>();
    private final Map<String, Integer> started = new TreeMap<>();
    private final Map<String, Integer> completed = new TreeMap<>();
    private final Consumer<EngineRun> onStart;
    private int capacity;
    private int largestConcurrency;
    private long cancelled;
    private long interrupted;

    EngineRuns(int capacity, Consumer<EngineRun> onStart) {
        this.capacity = capacity;
        this.onStart = onStart;
    }

    /** Starts or queues a request. Returns false if the queue is full. */
    boolean add(EngineRun run) {
        synchronized (this) {
            if (waiting.size() >= MAX_WAITING_REQUESTS) {
                return false;
            }
            waiting.add(run);
        }
        startWaiting();
        return true;
    }

    /** Ends a request and starts the next waiting one. Does nothing if the request has already ended. */
    void end(EngineRun run, boolean complete) {
        if (!run.markEnded()) {
            return;
        }
        synchronized (this) {
            running.remove(run);
            waiting.remove(run);
            if (complete) {
                completed.merge(run.requestId(), 1, Integer::sum);
            } else {
                interrupted++;
            }
        }
        startWaiting();
    }

    /** Cancels a request and returns whether it was running or waiting. */
    synchronized boolean cancel(String requestId) {
        List<EngineRun> found = runningAndWaiting().stream()
                .filter(run -> run.requestId().equals(requestId))
                .toList();
        found.forEach(EngineRun::cancel);
        cancelled += found.size();
        return !found.isEmpty();
    }

    /** Removes all requests, as a crash of the engine does. */
    synchronized void clear() {
        runningAndWaiting().forEach(EngineRun::markEnded);
        interrupted += running.size();
        running.clear();
        waiting.clear();
    }

    /** Returns the running requests that use an artifact. */
    synchronized List<EngineRun> runningOn(Artifact artifact) {
        return running.stream().filter(run -> run.artifact().equals(artifact)).toList();
    }

    synchronized void setCapacity(int requests) {
        capacity = requests;
    }

    synchronized int capacity() {
        return capacity;
    }

    synchronized int running() {
        return running.size();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    synchronized int largestConcurrency() {
        return largestConcurrency;
    }

    synchronized long cancelled() {
        return cancelled;
    }

    synchronized long interrupted() {
        return interrupted;
    }

    synchronized Map<String, Integer> started() {
        return new TreeMap<>(started);
    }

    synchronized Map<String, Integer> completed() {
        return new TreeMap<>(completed);
    }

    private List<EngineRun> runningAndWaiting() {
        List<EngineRun> all = new ArrayList<>(running);
        all.addAll(waiting);
        return all;
    }

    private void startWaiting() {
        for (EngineRun run = pollStartable(); run != null; run = pollStartable()) {
            onStart.accept(run);
        }
    }

    private synchronized EngineRun pollStartable() {
        if (waiting.isEmpty() || running.size() >= capacity) {
            return null;
        }
        EngineRun run = waiting.poll();
        running.add(run);
        largestConcurrency = Math.max(largestConcurrency, running.size());
        started.merge(run.requestId(), 1, Integer::sum);
        return run;
    }
}
