package org.gooseberryring.transport.endpoint;

/**
 * Load that an endpoint states beside an answer.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param slots requests that can run at once
 */
public record AnswerLoad(int running, int waiting, int slots) {}
