package org.gooseberryring.host.config;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.config.AuditPage;
import org.gooseberryring.coordination.config.ChangeCommitter;
import org.gooseberryring.coordination.config.DocumentCodec;
import org.gooseberryring.coordination.config.HeadDocument;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.transport.store.ObjectStore;

/** Reads the records of accepted changes from the configuration object and the audit pages. */
public final class AuditTrail {
    private final ObjectStore store;
    private final DocumentCodec codec;

    public AuditTrail(ObjectStore store, DocumentCodec codec) {
        this.store = store;
        this.codec = codec;
    }

    /** Returns records with a higher revision than the given one, oldest first; at least one if any exists. */
    public List<ChangeRecord> after(long revision) throws StoreFailedException {
        StoreReply head = store.read(ChangeCommitter.HEAD_KEY);
        HeadDocument document = exists(head) ? codec.decodeHead(head.value()) : HeadDocument.empty();
        List<ChangeRecord> recent = document.recentChanges();
        boolean inHead = recent.isEmpty() || recent.get(0).revision() <= revision + 1;
        if (inHead) {
            return newerThan(recent, revision);
        }
        StoreReply page = store.read(AuditPage.key(revision + 1));
        return exists(page)
                ? newerThan(codec.decodePage(page.value()).records(), revision)
                : newerThan(recent, revision);
    }

    private static boolean exists(StoreReply reply) throws StoreFailedException {
        if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
            throw new StoreFailedException();
        }
        return reply.outcome() == StoreOutcome.OK;
    }

    private static List<ChangeRecord> newerThan(List<ChangeRecord> records, long revision) {
        List<ChangeRecord> found = new ArrayList<>(records);
        found.removeIf(record -> record.revision() <= revision);
        return found;
    }

    /** Thrown when the store does not reply or the call fails. */
    public static final class StoreFailedException extends Exception {
        private static final long serialVersionUID = 1L;
    }
}
