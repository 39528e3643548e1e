package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.crash.RequestPart;
import org.gooseberryring.protocol.peer.AnsweredPart;
import org.gooseberryring.protocol.peer.CrashedParts;
import org.gooseberryring.protocol.peer.QuarantinedDigest;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;

/** Converts observations and verdicts on parts of requests to peer messages and back. */
final class PartCodec {
    private PartCodec() {}

    static StateEntry encode(PartEvent.Crashed event) {
        CrashedParts.Builder crashed = CrashedParts.newBuilder()
                .setEndpoint(event.process().endpoint())
                .setBornMillis(event.process().bornMillis())
                .setService(event.parts().get(0).service());
        event.parts().forEach(part -> crashed.addParts(part.id()));
        return StateEntry.newBuilder().setCrashed(crashed).build();
    }

    static PartEvent.Crashed decode(CrashedParts crashed) {
        EndpointProcess process = new EndpointProcess(crashed.getEndpoint(), crashed.getBornMillis());
        return new PartEvent.Crashed(
                process,
                crashed.getPartsList().stream()
                        .map(id -> new RequestPart(crashed.getService(), id))
                        .toList());
    }

    static StateEntry encode(RequestCrash crash) {
        QuarantinedDigest.Builder quarantined =
                QuarantinedDigest.newBuilder().setDigest(crash.digest()).setEndpointLosses(crash.losses());
        if (crash.request() != null) {
            quarantined
                    .setService(crash.request().service())
                    .setEndpoint(crash.process().endpoint())
                    .setBornMillis(crash.process().bornMillis());
        }
        return StateEntry.newBuilder().setQuarantined(quarantined).build();
    }

    /** Decodes a loss; earlier versions of the program do not state the process. */
    static RequestCrash decode(QuarantinedDigest quarantined) {
        String digest = quarantined.getDigest();
        int losses = quarantined.getEndpointLosses();
        if (quarantined.getEndpoint().isEmpty()) {
            return RequestCrash.withoutEvidence(digest, losses);
        }
        EndpointProcess process = new EndpointProcess(quarantined.getEndpoint(), quarantined.getBornMillis());
        return new RequestCrash(digest, losses, process, RequestPart.ofWhole(quarantined.getService(), digest));
    }

    static StateEntry encode(PartEvent.Answered event) {
        return StateEntry.newBuilder()
                .setAnswered(AnsweredPart.newBuilder()
                        .setService(PartScope.of(event.part()))
                        .setPart(event.part().id())
                        .setAgeMillis(event.ageMillis()))
                .build();
    }

    static PartEvent.Answered decode(AnsweredPart answered) {
        return new PartEvent.Answered(
                PartScope.part(answered.getService(), answered.getPart()), answered.getAgeMillis());
    }

    static StateEntry encode(PartVerdict verdict) {
        return StateEntry.newBuilder()
                .setVerdict(org.gooseberryring.protocol.peer.PartVerdict.newBuilder()
                        .setService(PartScope.of(verdict.part()))
                        .setPart(verdict.part().id())
                        .setGeneration(verdict.generation())
                        .setEnded(verdict.ended())
                        .setConfidence(verdict.confidence()))
                .build();
    }

    static PartVerdict decode(org.gooseberryring.protocol.peer.PartVerdict verdict) {
        return new PartVerdict(
                PartScope.part(verdict.getService(), verdict.getPart()),
                verdict.getGeneration(),
                verdict.getEnded(),
                verdict.getConfidence());
    }
}
