package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.PromptPart;
import org.gooseberryring.protocol.peer.AnsweredPart;
import org.gooseberryring.protocol.peer.CrashedParts;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;

/** Converts observations and verdicts on prompt parts to peer messages and back. */
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
                        .map(id -> new PromptPart(crashed.getService(), id))
                        .toList());
    }

    static StateEntry encode(PartEvent.Answered event) {
        return StateEntry.newBuilder()
                .setAnswered(AnsweredPart.newBuilder()
                        .setService(event.part().service())
                        .setPart(event.part().id())
                        .setAgeMillis(event.ageMillis()))
                .build();
    }

    static PartEvent.Answered decode(AnsweredPart answered) {
        return new PartEvent.Answered(
                new PromptPart(answered.getService(), answered.getPart()), answered.getAgeMillis());
    }

    static StateEntry encode(PartVerdict verdict) {
        return StateEntry.newBuilder()
                .setVerdict(org.gooseberryring.protocol.peer.PartVerdict.newBuilder()
                        .setService(verdict.part().service())
                        .setPart(verdict.part().id())
                        .setGeneration(verdict.generation())
                        .setEnded(verdict.ended())
                        .setConfidence(verdict.confidence()))
                .build();
    }

    static PartVerdict decode(org.gooseberryring.protocol.peer.PartVerdict verdict) {
        return new PartVerdict(
                new PromptPart(verdict.getService(), verdict.getPart()),
                verdict.getGeneration(),
                verdict.getEnded(),
                verdict.getConfidence());
    }
}
