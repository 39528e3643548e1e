package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Logs observations and verdicts on prompt parts. */
final class PartLog {
    private static final Logger LOG = Logger.getLogger(PartLog.class);
    private static final String PART = "part";

    private PartLog() {}

    static void log(PartEvent event) {
        if (event instanceof PartEvent.Crashed crashed) {
            LogLine.event("parts-crashed")
                    .with("endpoint", crashed.process().endpoint())
                    .with("parts", PartNames.of(crashed.parts()))
                    .info(LOG);
        } else if (event instanceof PartEvent.Answered answered) {
            LogLine.event("part-answered")
                    .with(PART, answered.part())
                    .with("ageMs", answered.ageMillis())
                    .info(LOG);
        } else if (event instanceof PartEvent.VerdictChanged changed) {
            logVerdict(changed);
        } else if (event instanceof PartEvent.RequestRejected rejected) {
            LogLine.event("request-part-rejected")
                    .with("requestId", rejected.requestId())
                    .with(PART, rejected.part())
                    .debug(LOG);
        } else if (event instanceof PartEvent.TrialStarted trial) {
            LogLine.event("part-trial")
                    .with(PART, trial.part())
                    .with("requestId", trial.requestId())
                    .info(LOG);
        }
    }

    private static void logVerdict(PartEvent.VerdictChanged changed) {
        PartVerdict verdict = changed.verdict();
        LogLine.event(verdict.ended() ? "part-accepted" : "part-rejected")
                .with(PART, verdict.part())
                .with("generation", verdict.generation())
                .with("confidence", verdict.confidence())
                .with("crashes", changed.crashes())
                .with("reporter", changed.reporter())
                .info(LOG);
    }
}
