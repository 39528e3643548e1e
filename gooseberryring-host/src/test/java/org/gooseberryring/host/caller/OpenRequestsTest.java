package org.gooseberryring.host.caller;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class OpenRequestsTest {
    /** Guards against a request that is accepted after a draining host has seen its last open request end. */
    @Test
    void rejectsNewRequestsWhileDraining() throws InterruptedException {
        OpenRequests open = new OpenRequests(2);
        assertThat(open.tryAcquire()).isTrue();
        open.drain();
        assertThat(open.tryAcquire()).isFalse();
        assertThat(open.count()).isEqualTo(1);
        open.release();
        assertThat(open.awaitEmpty(1)).isTrue();
    }
}
