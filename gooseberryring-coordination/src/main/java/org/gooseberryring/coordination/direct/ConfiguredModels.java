package org.gooseberryring.coordination.direct;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;

/** Looks up models in a configuration. */
final class ConfiguredModels {
    private ConfiguredModels() {}

    /** Returns the model of a target if the configuration contains it and its adapter, otherwise null. */
    static ModelProfile find(ServingConfiguration configuration, RequestTarget.RoutedTarget target) {
        ServiceProfile service = configuration.services().get(target.service());
        EngineProfile engine = service == null ? null : service.engine();
        ModelProfile model = engine == null || target.model() == null
                ? null
                : engine.models().get(target.model());
        boolean known = model != null && (target.adapter() == null || model.hasAdapter(target.adapter()));
        return known ? model : null;
    }
}
