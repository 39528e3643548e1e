package org.gooseberryring.host.entry;

import org.gooseberryring.protocol.peer.ArtifactDemand;
import org.gooseberryring.protocol.peer.PartVerdict;
import org.gooseberryring.protocol.peer.StateEntry;

/**
 * Key of an entry of a host's state.
 *
 * @param kind kind of the entry
 * @param name identifier of the subject of the entry, unique within its kind
 */
record StateKey(StateEntry.ValueCase kind, String name) {
    private static final char SEPARATOR = '/';
    private static final int HEX_RADIX = 16;

    /** Returns the key of the usage of an endpoint by the requests of a host. */
    static StateKey endpoint(String endpoint) {
        return new StateKey(StateEntry.ValueCase.ENDPOINT, endpoint);
    }

    /** Returns the key of the tokens that a host has admitted for an organisation. */
    static StateKey organisation(String organisation) {
        return new StateKey(StateEntry.ValueCase.ORGANISATION, organisation);
    }

    /** Returns the key of the demand for a model, or for an adapter of it. */
    static StateKey artifact(String service, String model, String adapter) {
        return new StateKey(StateEntry.ValueCase.ARTIFACT, service + SEPARATOR + model + SEPARATOR + adapter);
    }

    /** Returns the key of the models that an endpoint has loaded. */
    static StateKey holding(String endpoint) {
        return new StateKey(StateEntry.ValueCase.HOLDING, endpoint);
    }

    /** Returns the key of the position up to which a host has followed a collection of the store. */
    static StateKey position(String collection) {
        return new StateKey(StateEntry.ValueCase.POSITION, collection);
    }

    /** Returns the key of a leaving endpoint. */
    static StateKey leaving(String endpoint) {
        return new StateKey(StateEntry.ValueCase.LEAVING, endpoint);
    }

    /** Returns the key of the rate limit of an endpoint. */
    static StateKey rateLimit(String endpoint) {
        return new StateKey(StateEntry.ValueCase.RATE_LIMIT, endpoint);
    }

    /** Returns the key of the verdict on a part of requests. */
    static StateKey verdict(String scope, long part) {
        return new StateKey(StateEntry.ValueCase.VERDICT, scope + SEPARATOR + Long.toHexString(part));
    }

    /** Returns the key of the configuration that a host has in force. */
    static StateKey configuration() {
        return new StateKey(StateEntry.ValueCase.CONFIGURATION, "");
    }

    /** Returns the key of the report on the endpoints that a host reaches itself. */
    static StateKey reachability() {
        return new StateKey(StateEntry.ValueCase.REACHABILITY, "");
    }

    /** Returns the key of an entry; the name is empty for a kind that only later versions of the program know. */
    static StateKey of(StateEntry entry) {
        ArtifactDemand demand = entry.getArtifact();
        return switch (entry.getValueCase()) {
            case ENDPOINT -> endpoint(entry.getEndpoint().getEndpoint());
            case ORGANISATION -> organisation(entry.getOrganisation().getOrganisation());
            case ARTIFACT -> artifact(demand.getService(), demand.getModel(), demand.getAdapter());
            case HOLDING -> holding(entry.getHolding().getEndpoint());
            case POSITION -> position(entry.getPosition().getCollection());
            case LEAVING -> leaving(entry.getLeaving().getEndpoint());
            case RATE_LIMIT -> rateLimit(entry.getRateLimit().getEndpoint());
            case VERDICT ->
                verdict(entry.getVerdict().getService(), entry.getVerdict().getPart());
            case CONFIGURATION -> configuration();
            case REACHABILITY -> reachability();
            default -> new StateKey(entry.getValueCase(), "");
        };
    }

    /** Returns an entry that contains only the fields that identify this key. */
    StateEntry bare() {
        StateEntry.Builder entry = StateEntry.newBuilder();
        switch (kind) {
            case ENDPOINT -> entry.getEndpointBuilder().setEndpoint(name);
            case ORGANISATION -> entry.getOrganisationBuilder().setOrganisation(name);
            case ARTIFACT -> entry.setArtifact(demand(name));
            case HOLDING -> entry.getHoldingBuilder().setEndpoint(name);
            case POSITION -> entry.getPositionBuilder().setCollection(name);
            case LEAVING -> entry.getLeavingBuilder().setEndpoint(name);
            case RATE_LIMIT -> entry.getRateLimitBuilder().setEndpoint(name);
            case VERDICT -> entry.setVerdict(verdict(name));
            case CONFIGURATION -> entry.getConfigurationBuilder();
            case REACHABILITY -> entry.getReachabilityBuilder();
            default -> throw new IllegalStateException("Entries of kind " + kind + " have no key");
        }
        return entry.build();
    }

    private static PartVerdict verdict(String name) {
        int last = name.lastIndexOf(SEPARATOR);
        return PartVerdict.newBuilder()
                .setService(name.substring(0, last))
                .setPart(Long.parseUnsignedLong(name.substring(last + 1), HEX_RADIX))
                .build();
    }

    private static ArtifactDemand demand(String name) {
        int first = name.indexOf(SEPARATOR);
        int last = name.lastIndexOf(SEPARATOR);
        return ArtifactDemand.newBuilder()
                .setService(name.substring(0, first))
                .setModel(name.substring(first + 1, last))
                .setAdapter(name.substring(last + 1))
                .build();
    }
}
