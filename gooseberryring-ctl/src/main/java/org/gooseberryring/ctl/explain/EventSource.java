package org.gooseberryring.ctl.explain;

import java.util.function.Consumer;

/** Log events of hosts, which can be read repeatedly; the events of one host are in the order of its log. */
@FunctionalInterface
interface EventSource {
    void forEach(Consumer<LogEvent> receiver);
}
