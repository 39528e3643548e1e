package org.gooseberryring.host.entry;

import org.gooseberryring.protocol.peer.ArtifactDemand;
import org.gooseberryring.protocol.peer.StateEntry;

/**
 * Key of an entry of a host's state.
 *
 * @param kind kind of the entry
 * @param name what the entry is about
 */
record StateKey(StateEntry.ValueCase kind, String name) {
    private static final char SEPARATOR = '/';

    /** Returns the key of an entry. */
    static StateKey of(StateEntry entry) {
        String name =
                switch (entry.getValueCase()) {
                    case ENDPOINT -> entry.getEndpoint().getEndpoint();
                    case ORGANISATION -> entry.getOrganisation().getOrganisation();
                    case ARTIFACT -> name(entry.getArtifact());
                    case HOLDING -> entry.getHolding().getEndpoint();
                    case POSITION -> entry.getPosition().getCollection();
                    default -> "";
                };
        return new StateKey(entry.getValueCase(), name);
    }

    /** Returns an entry that identifies this key and says nothing else. */
    StateEntry bare() {
        StateEntry.Builder entry = StateEntry.newBuilder();
        switch (kind) {
            case ENDPOINT -> entry.getEndpointBuilder().setEndpoint(name);
            case ORGANISATION -> entry.getOrganisationBuilder().setOrganisation(name);
            case ARTIFACT -> entry.setArtifact(artifact(name));
            case HOLDING -> entry.getHoldingBuilder().setEndpoint(name);
            case POSITION -> entry.getPositionBuilder().setCollection(name);
            default -> throw new IllegalStateException("Entries of kind " + kind + " have no key");
        }
        return entry.build();
    }

    private static String name(ArtifactDemand demand) {
        return demand.getService() + SEPARATOR + demand.getModel() + SEPARATOR + demand.getAdapter();
    }

    private static ArtifactDemand artifact(String name) {
        int first = name.indexOf(SEPARATOR);
        int last = name.lastIndexOf(SEPARATOR);
        return ArtifactDemand.newBuilder()
                .setService(name.substring(0, first))
                .setModel(name.substring(first + 1, last))
                .setAdapter(name.substring(last + 1))
                .build();
    }
}
