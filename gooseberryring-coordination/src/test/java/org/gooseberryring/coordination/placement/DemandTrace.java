package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.SheetRow;

/** Seeded fleet and demand: few models in high demand, many in low demand, slow waves, tenfold rises within an hour. */
final class DemandTrace {
    static final int MINUTES = 480;
    static final int CONCURRENCY = 16;

    private static final int DOMAINS = 3;
    private static final int MINUTES_PER_HOUR = 60;
    private static final int RISE_MINUTES = 30;
    private static final int HOLD_MINUTES = 20;

    private final int endpoints;
    private final int models;
    private final double[][] demand;
    private final long[] bytes;

    DemandTrace(long seed, int endpoints, int models, double meanShare) {
        this.endpoints = endpoints;
        this.models = models;
        Random random = new Random(seed);
        bytes = new long[models];
        double[] base = new double[models];
        double sum = 0;
        for (int m = 0; m < models; m++) {
            bytes[m] = 8 + random.nextInt(12);
            base[m] = 1.0 / (m + 2);
            sum += base[m];
        }
        demand = new double[MINUTES][models];
        for (int m = 0; m < models; m++) {
            double phase = random.nextDouble() * 2 * Math.PI;
            double mean = base[m] / sum * endpoints * CONCURRENCY * meanShare;
            for (int t = 0; t < MINUTES; t++) {
                demand[t][m] = mean * (1 + 0.5 * Math.sin(phase + 2 * Math.PI * t / MINUTES));
            }
        }
        for (int start = 0; start + MINUTES_PER_HOUR <= MINUTES; start += MINUTES_PER_HOUR) {
            for (int burst = 0; burst < 2; burst++) {
                int model = models / 6 + random.nextInt(models - models / 6);
                for (int t = 0; t < MINUTES_PER_HOUR; t++) {
                    demand[start + t][model] *= rise(t);
                }
            }
        }
        for (double[] minute : demand) {
            for (int m = 0; m < models; m++) {
                minute[m] *= 0.8 + 0.4 * random.nextDouble();
            }
        }
    }

    /** Returns the demand for a model in a minute, in concurrent requests. */
    double demand(int minute, String model) {
        return demand[minute][Integer.parseInt(model.substring(1))];
    }

    /** Returns the fleet with a sheet derived from the mean demand and the placements planned for it. */
    FleetConfiguration fleet() {
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        TreeMap<String, Endpoint> engines = new TreeMap<>();
        TreeMap<String, Model> all = new TreeMap<>();
        List<SheetRow> sheet = new ArrayList<>();
        for (int e = 0; e < endpoints; e++) {
            String domain = "d" + e % DOMAINS;
            domains.put(domain, new FailureDomain(domain, "r", true));
            String id = String.format("e%05d", e);
            engines.put(id, new Endpoint(id, EndpointKind.MODEL, domain, "10.0.0.1:1", 100, CONCURRENCY, true, false));
        }
        for (int m = 0; m < models; m++) {
            String id = "m" + m;
            all.put(id, new Model(id, bytes[m], List.of("1"), "1", List.of(), true));
            double mean = 0;
            for (double[] minute : demand) {
                mean += minute[m] / MINUTES;
            }
            int replicas = Math.max(1, (int) Math.ceil(mean / (CONCURRENCY * 0.5)));
            sheet.add(new SheetRow(new Artifact(id, null, "1"), replicas, List.of()));
        }
        FleetConfiguration empty = new FleetConfiguration(1, null, null, all, null, domains, engines, sheet, null);
        return withPlacements(empty, new Planner().plan(empty).placements());
    }

    static FleetConfiguration withPlacements(FleetConfiguration c, SortedMap<String, List<Artifact>> placements) {
        return new FleetConfiguration(
                c.revision() + 1,
                c.organisations(),
                c.keys(),
                c.models(),
                c.services(),
                c.failureDomains(),
                c.endpoints(),
                c.sheet(),
                placements);
    }

    private static double rise(int t) {
        if (t < RISE_MINUTES) {
            return 1 + 9.0 * t / RISE_MINUTES;
        }
        return t < RISE_MINUTES + HOLD_MINUTES ? 10 : 10 - 0.9 * (t - RISE_MINUTES - HOLD_MINUTES);
    }
}
