package org.gooseberryring.ctl.command;

import java.util.function.Supplier;

import org.gooseberryring.ctl.admin.HttpCalls;
import org.gooseberryring.ctl.admin.Sleeper;

/**
 * Dependencies of the commands.
 *
 * @param console output of the command
 * @param calls makes HTTP calls
 * @param sleeper waits between attempts
 * @param changeIds generates identifiers of changes
 * @param keys generates keys for callers
 */
public record Context(
        Console console,
        HttpCalls calls,
        Sleeper sleeper,
        Supplier<String> changeIdSupplier,
        Supplier<String> keySupplier) {}
