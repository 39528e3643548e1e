package org.gooseberryring.coordination.direct;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class BrittleLimitTest {
    private static final int ENDPOINTS = 20;

    /** Guards against hosts that overfill an endpoint although none knows the requests of the others. */
    @ParameterizedTest
    @CsvSource({"1,1", "1,64", "2,3", "7,8", "7,24", "7,64", "60,64"})
    void hostsThatKnowTheEndpointIsFullFitInTogether(int hosts, int slots) {
        for (int number = 0; number < ENDPOINTS; number++) {
            int total = 0;
            for (int rank = 0; rank < hosts; rank++) {
                total += mostInFlight(limit("e" + number), slots, slots, new FleetShare(rank, hosts));
            }
            assertWithMessage("requests in flight at e" + number).that(total).isEqualTo(slots);
        }
    }

    /** Guards against the same with more hosts than slots. */
    @ParameterizedTest
    @CsvSource({"7,4", "60,8", "300,64"})
    void moreHostsThanSlotsFitInTogether(int hosts, int slots) {
        int total = 0;
        for (int rank = 0; rank < hosts; rank++) {
            total += mostInFlight(limit("e1"), slots, slots, new FleetShare(rank, hosts));
        }
        assertWithMessage("requests in flight").that(total).isAtMost(slots);
    }

    /** Guards against endpoints that stay empty because the requests come to a few hosts only. */
    @Test
    void hostUsesTwiceItsPartWhileThereIsRoomForAll() {
        FleetShare share = new FleetShare(2, 7);
        assertThat(mostInFlight(limit("e1"), 28, 0, share)).isEqualTo(8);
        assertThat(mostInFlight(limit("e1"), 28, 22, share)).isEqualTo(4);
        BrittleLimit sound = limit("e1");
        sound.setBrittle(false);
        assertThat(mostInFlight(sound, 28, 0, share)).isEqualTo(28);
    }

    /** Guards against hosts that repeat rejected requests at once, since each repetition may be rejected again. */
    @Test
    void nothingIsSentRightAfterARejection() {
        BrittleLimit limit = limit("e1");
        limit.onRejected(1_000);
        assertThat(limit.canSend(0, 0, 8, FleetShare.ALONE, 1_499)).isFalse();
        assertThat(limit.canSend(0, 0, 8, FleetShare.ALONE, 1_500)).isTrue();
    }

    /** Guards against hosts that fill an endpoint beyond its slots since it still runs requests that have timed out. */
    @Test
    void abandonedRequestKeepsItsSlotForAWhile() {
        BrittleLimit limit = limit("e1");
        limit.onAbandoned(1_000);
        assertThat(limit.canSend(3, 3, 4, FleetShare.ALONE, 1_499)).isFalse();
        assertThat(limit.canSend(2, 2, 4, FleetShare.ALONE, 1_499)).isTrue();
        assertThat(limit.canSend(3, 3, 4, FleetShare.ALONE, 1_500)).isTrue();
    }

    private static BrittleLimit limit(String endpoint) {
        BrittleLimit limit = new BrittleLimit(endpoint);
        limit.setBrittle(true);
        return limit;
    }

    /** Returns how many requests a host has in flight at most, beside those of other hosts that it knows. */
    private static int mostInFlight(BrittleLimit limit, int slots, int ofOthers, FleetShare share) {
        int own = 0;
        while (own < slots && limit.canSend(own, own + ofOthers, slots, share, 0)) {
            own++;
        }
        return own;
    }
}
