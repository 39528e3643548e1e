package org.gooseberryring.coordination.limit;

import java.util.Map;

import org.gooseberryring.state.Organisation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class QuotaPlanTest {
    private static final Organisation ORGANISATION = new Organisation("o", 900, 300, 1, null);
    private static final Map<String, Organisation> ORGANISATIONS = Map.of("o", ORGANISATION);

    /** Guards against an increase before the reductions on which it depends are confirmed. */
    @Test
    void increasesRequireConfirmedReductions() {
        QuotaDocument founded = founded();
        QuotaDocument joined =
                QuotaPlan.rebalance(register(QuotaPlan.join(founded, "o", "b"), "b", 1), 1, ORGANISATIONS);
        assertThat(joined.of("a").get("o")).isEqualTo(new Quota(900, 300, 450, 150, true, false));
        assertThat(joined.of("b").get("o").empty()).isTrue();

        QuotaDocument confirmed = QuotaPlan.rebalance(QuotaPlan.confirm(joined, "o", "a"), 1, ORGANISATIONS);
        assertThat(confirmed.of("b").get("o").rate()).isEqualTo(450);
        assertThat(confirmed.of("b").get("o").full()).isFalse();
        assertThat(confirmed.rateOf("o")).isEqualTo(900);
        assertThat(confirmed.burstOf("o")).isEqualTo(300);
    }

    /** Guards against a quota that is reassigned while a process at another address may still use it. */
    @Test
    void onlyAProcessAtTheSameAddressInheritsQuotas() {
        QuotaDocument sameAddress = register(founded(), "a", 2);
        assertThat(sameAddress.of("a").get("o")).isEqualTo(new Quota(900, 300, 900, 300, false, false));
        assertThat(sameAddress.keepers().get("a").incarnation()).isEqualTo(2);

        KeeperEntry moved = new KeeperEntry(2, "d", "10.0.0.9:1", 0);
        QuotaDocument elsewhere = QuotaPlan.register(QuotaPlan.join(founded(), "o", "a"), "a", moved);
        assertThat(elsewhere.of("a")).isEmpty();
        assertThat(elsewhere.rateOf("o")).isEqualTo(900);

        KeeperEntry renamed = new KeeperEntry(1, "d", "a:1", 0);
        QuotaDocument successor = QuotaPlan.register(founded(), "c", renamed);
        assertThat(successor.of("c").get("o").rate()).isEqualTo(900);
        assertThat(successor.keepers().keySet()).containsExactly("c");

        assertThat(register(sameAddress, "a", 1)).isEqualTo(sameAddress);
    }

    /** Guards against a second full burst for an organisation that is removed and added again. */
    @Test
    void removedOrganisationDoesNotStartFullAgain() {
        QuotaDocument removed = QuotaPlan.rebalance(founded(), 2, Map.of());
        QuotaDocument withdrawn = QuotaPlan.withdraw(QuotaPlan.confirm(removed, "o", "a"), "o", "a");
        QuotaDocument empty = QuotaPlan.rebalance(withdrawn, 2, Map.of());
        assertThat(empty.of("a")).isEmpty();

        QuotaDocument again = QuotaPlan.joinOrCreate(empty, 3, ORGANISATION, "a", 1);
        assertThat(again.of("a").get("o").full()).isFalse();
    }

    /** Guards against a new organisation whose complete rate and burst are lost with its first keeper. */
    @Test
    void newOrganisationIsSharedByTheExpectedKeepers() {
        QuotaDocument first = register(QuotaPlan.joinOrCreate(QuotaDocument.empty(), 1, ORGANISATION, "a", 2), "a", 1);
        QuotaDocument alone = QuotaPlan.rebalance(first, 1, ORGANISATIONS);
        assertThat(alone.of("a").get("o")).isEqualTo(new Quota(450, 150, 450, 150, true, false));
        assertThat(alone.rateOf("o")).isEqualTo(900);

        QuotaDocument both = register(QuotaPlan.joinOrCreate(alone, 1, ORGANISATION, "b", 2), "b", 1);
        assertThat(both.of("b").get("o")).isEqualTo(new Quota(450, 150, 450, 150, true, false));
        assertThat(QuotaPlan.hasReserve(both)).isFalse();
        assertThat(both.rateOf("o")).isEqualTo(900);
    }

    /** Guards against a part of the rate that stays reserved for a keeper that never joins. */
    @Test
    void reservedQuotaIsReleasedToTheCurrentKeepers() {
        QuotaDocument first = register(QuotaPlan.joinOrCreate(QuotaDocument.empty(), 1, ORGANISATION, "a", 2), "a", 1);

        QuotaDocument released = QuotaPlan.rebalance(QuotaPlan.releaseReserve(first), 1, ORGANISATIONS);

        assertThat(released.of("a").get("o").rate()).isEqualTo(900);
        assertThat(released.burstOf("o")).isEqualTo(300);
    }

    private static QuotaDocument founded() {
        return register(QuotaPlan.joinOrCreate(QuotaDocument.empty(), 1, ORGANISATION, "a", 1), "a", 1);
    }

    private static QuotaDocument register(QuotaDocument document, String host, long incarnation) {
        return QuotaPlan.register(document, host, new KeeperEntry(incarnation, "d", host + ":1", 0));
    }
}
