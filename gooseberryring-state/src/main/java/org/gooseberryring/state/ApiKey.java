package org.gooseberryring.state;

/**
 * Key of an organisation, of which only the digest is stored.
 *
 * @param digest lower-case hexadecimal SHA-256 of the key
 * @param organisation organisation that the key authenticates
 * @param label name shown to operators
 * @param withdrawn whether the key no longer authenticates
 */
public record ApiKey(String digest, String organisation, String label, boolean withdrawn) {}
