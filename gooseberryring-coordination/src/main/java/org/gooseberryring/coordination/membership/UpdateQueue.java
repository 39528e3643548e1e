package org.gooseberryring.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Updates to be sent with the next messages; those sent least often are sent first. */
final class UpdateQueue {
    private final Map<String, Entry> entries = new TreeMap<>();

    private static final class Entry {
        private final Member member;
        private int sent;

        Entry(Member member) {
            this.member = member;
        }
    }

    void add(Member member) {
        entries.put(member.host(), new Entry(member));
    }

    /** Returns updates for one message and removes those that have been sent the given number of times. */
    List<Member> take(int count, int transmissions) {
        List<Entry> bySentCount = new ArrayList<>(entries.values());
        bySentCount.sort(Comparator.comparingInt(e -> e.sent));
        List<Member> result = new ArrayList<>();
        for (Entry entry : bySentCount.subList(0, Math.min(count, bySentCount.size()))) {
            result.add(entry.member);
            entry.sent++;
            if (entry.sent >= transmissions) {
                entries.remove(entry.member.host(), entry);
            }
        }
        return result;
    }
}
