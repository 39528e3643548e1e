package org.gooseberryring.coordination.order;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;

class OrderControllerTest {
    /** Event of a simulation run. */
    enum Step {
        WAIT,
        CHANGE_SHEET,
        PAUSE_CONTROLLER,
        RESTART_CONTROLLER,
        RESTART_ENGINE,
        STORE_DOWN,
        STORE_UP
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Arbitraries.frequency(
                        Tuple.of(6, Step.WAIT),
                        Tuple.of(6, Step.CHANGE_SHEET),
                        Tuple.of(2, Step.PAUSE_CONTROLLER),
                        Tuple.of(1, Step.RESTART_CONTROLLER),
                        Tuple.of(2, Step.RESTART_ENGINE),
                        Tuple.of(1, Step.STORE_DOWN),
                        Tuple.of(2, Step.STORE_UP))
                .list()
                .ofMinSize(20)
                .ofMaxSize(40);
    }

    /**
     * Guards against overcommitted endpoint memory and an exceeded budget of the weight store under lost, delayed,
     * repeated and reordered orders, engines that ignore fencing numbers or lose their content, two concurrent
     * controllers, paused and restarted controllers, and lost store replies.
     */
    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void memoryAndBudgetAreNeverExceeded(@ForAll long seed, @ForAll("steps") List<Step> steps) {
        run(new OrderSimulation(seed, true), steps);
    }

    /** Guards against a model that loses its last replica, and against endpoints that never match their placements. */
    @Property(tries = 80, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void everyModelKeepsAReplicaThroughSheetChanges(@ForAll long seed, @ForAll("steps") List<Step> steps) {
        OrderSimulation simulation = new OrderSimulation(seed, false);
        run(simulation, steps);
        simulation.endFaults();
        simulation.run(600_000);
        simulation.checkConverged();
    }

    private static void run(OrderSimulation simulation, List<Step> steps) {
        simulation.run(10_000);
        for (Step step : steps) {
            switch (step) {
                case CHANGE_SHEET:
                    simulation.changeSheet();
                    break;
                case PAUSE_CONTROLLER:
                    simulation.pauseController();
                    break;
                case RESTART_CONTROLLER:
                    simulation.restartController();
                    break;
                case RESTART_ENGINE:
                    simulation.restartEngine();
                    break;
                case STORE_DOWN:
                    simulation.storeDown(true);
                    break;
                case STORE_UP:
                    simulation.storeDown(false);
                    break;
                default:
                    break;
            }
            simulation.run(5_000);
        }
    }
}
