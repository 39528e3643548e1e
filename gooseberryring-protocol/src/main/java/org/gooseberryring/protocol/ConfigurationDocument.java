package org.gooseberryring.protocol;

import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Content of the store object {@code config/head}.
 *
 * @param configuration configuration in force
 * @param lastChange audit record of the change that produced it
 */
public record ConfigurationDocument(FleetConfiguration configuration, ChangeRecord lastChange) {}
