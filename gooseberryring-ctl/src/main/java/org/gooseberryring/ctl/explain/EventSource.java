package org.gooseberryring.ctl.explain;

import java.util.function.Consumer;

/** Events of hosts, which can be read more than once; those of one host come in the order in which it wrote them. */
@FunctionalInterface
interface EventSource {
    void forEach(Consumer<LogEvent> receiver);
}
