package org.gooseberryring.host.entry;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Logs what requests of this host have shown and notifies the other hosts; may be used on any thread. */
final class PeerNotices {
    private static final Logger LOG = Logger.getLogger(PeerNotices.class);

    private final ControlLoop control;
    private final PeerExchange exchange;
    private final Queue<StreamRecord> brokenStreams = new ConcurrentLinkedQueue<>();
    private final CoalescedTask streamSender;

    PeerNotices(ControlLoop control, PeerExchange exchange) {
        this.control = control;
        this.exchange = exchange;
        streamSender = new CoalescedTask(control::put, this::sendBrokenStreams);
    }

    /** Notifies the other hosts of a request that crashes endpoints. */
    void spreadRequestCrash(RequestEffect.SpreadRequestCrash effect) {
        RequestCrash crash = effect.crash();
        LogLine.event("request-suspected")
                .with("digest", crash.digest())
                .with("crashes", crash.losses())
                .with(
                        "endpoint",
                        crash.process() == null ? null : crash.process().endpoint())
                .info(LOG);
        control.put(now -> exchange.addNotice(PartCodec.encode(crash)));
    }

    /** Notifies the other hosts of an observation about prompt parts. */
    void spreadPartEvent(PartEvent event) {
        PartLog.log(event);
        if (event instanceof PartEvent.Crashed crashed) {
            control.put(now -> exchange.addNotice(PartCodec.encode(crashed)));
        } else if (event instanceof PartEvent.Answered answered) {
            control.put(now -> exchange.addNotice(PartCodec.encode(answered)));
        }
    }

    /** Notifies the other hosts at once of a stream that broke off, since its caller may take it up at any of them. */
    void spreadStream(StreamRecord stream) {
        brokenStreams.add(stream);
        streamSender.request();
    }

    /** Sends all broken streams together; an endpoint that ends breaks many at the same time. */
    private void sendBrokenStreams(long now) {
        for (StreamRecord stream = brokenStreams.poll(); stream != null; stream = brokenStreams.poll()) {
            exchange.addNotice(StreamCodec.encode(stream));
        }
        exchange.publishNow(now);
    }
}
