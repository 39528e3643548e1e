package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.feed.FeedListener;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Passes the changes of a collection on, so that an object which cannot be applied does not end the list that has it.
 *
 * @param <T> type of the content
 */
final class IsolatingListener<T> implements FeedListener<T> {
    private static final Logger LOG = Logger.getLogger(IsolatingListener.class);

    private final String collection;
    private final FeedListener<T> listener;

    IsolatingListener(String collection, FeedListener<T> listener) {
        this.collection = collection;
        this.listener = listener;
    }

    @Override
    public void onChanged(String name, T value, long now) {
        isolate(name, () -> listener.onChanged(name, value, now));
    }

    @Override
    public void onRemoved(String name, long now) {
        isolate(name, () -> listener.onRemoved(name, now));
    }

    @Override
    public void onListed(StorePosition at, long now) {
        listener.onListed(at, now);
    }

    @Override
    public void onContactChanged(boolean inContact, long now) {
        listener.onContactChanged(inContact, now);
    }

    private void isolate(String name, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException e) {
            LogLine.event("object-not-applied")
                    .with("collection", collection)
                    .with("name", name)
                    .error(LOG, e);
        }
    }
}
