package org.gooseberryring.state;

/**
 * API key of an organisation; only its digest is stored.
 *
 * @param digest lower-case hexadecimal SHA-256 of the key
 * @param organisation organisation that the key authenticates
 * @param label name shown to operators
 * @param withdrawn whether the key is revoked
 */
public record ApiKey(String digest, String organisation, String label, boolean withdrawn) {}
