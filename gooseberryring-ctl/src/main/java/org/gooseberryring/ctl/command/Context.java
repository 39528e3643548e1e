package org.gooseberryring.ctl.command;

import java.util.function.Supplier;

import org.gooseberryring.ctl.admin.HttpCalls;
import org.gooseberryring.ctl.admin.Sleeper;

/**
 * What commands need from their surroundings.
 *
 * @param console output
 * @param calls makes HTTP calls
 * @param pause waits between attempts
 * @param changeIds makes identifiers of changes
 * @param keys makes keys for callers
 */
public record Context(
        Console console, HttpCalls calls, Sleeper pause, Supplier<String> changeIds, Supplier<String> keys) {}
