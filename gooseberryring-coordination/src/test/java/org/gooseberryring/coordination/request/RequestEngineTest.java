package org.gooseberryring.coordination.request;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

class RequestEngineTest {
    /**
     * Guards against a non-idempotent request that is sent twice, a false "not run", new requests to a draining
     * endpoint or a failure domain out of service, and a request with two responses or none.
     */
    @Property(tries = 400, seed = "7301", shrinking = ShrinkingMode.BOUNDED)
    void everyRequestEndsOnceAndRunsAsPromised(@ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int steps) {
        EngineWorld world = new EngineWorld(seed);
        for (int i = 0; i < steps; i++) {
            world.step();
        }
        world.finish();
    }
}
