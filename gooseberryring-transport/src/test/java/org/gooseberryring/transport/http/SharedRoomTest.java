package org.gooseberryring.transport.http;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SharedRoomTest {
    private static final long HEAP_BYTES = 96 << 20;

    private final SharedRoom room = new SharedRoom(100, 70);

    /** Guards against buffers of one owner that take the room of all others. */
    @Test
    void leavesRoomForOtherOwners() {
        assertThat(room.resize("a", 0, 70)).isTrue();
        assertThat(room.resize("a", 0, 1)).isFalse();
        assertThat(room.resize("b", 0, 30)).isTrue();
        assertThat(room.heldBytes()).isEqualTo(100);
    }

    /** Guards against buffers that exceed the room together, each owner within its own limit. */
    @Test
    void limitsAllOwnersTogether() {
        assertThat(room.resize("a", 0, 60)).isTrue();
        assertThat(room.resize("b", 0, 41)).isFalse();
        assertThat(room.heldBytes()).isEqualTo(60);
    }

    /** Guards against room that stays taken after a buffer has shrunk or ended. */
    @Test
    void releasesRoom() {
        assertThat(room.resize("a", 0, 60)).isTrue();
        assertThat(room.resize("a", 60, 20)).isTrue();
        assertThat(room.resize("a", 20, 70)).isTrue();
        assertThat(room.resize("a", 70, 0)).isTrue();
        assertThat(room.heldBytes()).isEqualTo(0);
        assertThat(room.resize("a", 0, 70)).isTrue();
    }

    /** Guards against a budget that leaves no heap for anything else, or rejects bodies of ordinary days. */
    @Test
    void budgetIsPartOfHeap() {
        BufferBudget budget = BufferBudget.ofHeap(HEAP_BYTES);
        long held = 0;
        while (budget.requests().resize("a", held, held + 20_000)) {
            held += 20_000;
        }
        assertThat(held).isAtLeast(500 * 20_000L);
        assertThat(budget.requests().heldBytes()).isAtMost(HEAP_BYTES / 4);
    }
}
