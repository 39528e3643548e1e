package org.gooseberryring.state;

/**
 * Model that the endpoints of a service can load.
 *
 * @param id identifier, unique within the service
 * @param bytes accelerator memory of its weights, in bytes
 * @param storeLoadMillis milliseconds that a load from the weight store takes
 * @param memoryLoadMillis milliseconds that a load takes if the endpoint has a copy in memory
 * @param diskLoadMillis milliseconds that a load takes if the endpoint has a copy on disk
 * @param adapters number of adapters, named a1, a2 and so on
 * @param adapterBytes accelerator memory of one adapter, in bytes
 */
public record ModelProfile(
        String id,
        long bytes,
        long storeLoadMillis,
        long memoryLoadMillis,
        long diskLoadMillis,
        int adapters,
        long adapterBytes) {
    private static final String ADAPTER_PREFIX = "a";
    private static final int MAX_ADAPTER_DIGITS = 6;

    /** Returns whether the model has an adapter of the given name. */
    public boolean hasAdapter(String name) {
        String digits = name.startsWith(ADAPTER_PREFIX) ? name.substring(ADAPTER_PREFIX.length()) : "";
        boolean number = !digits.isEmpty()
                && digits.length() <= MAX_ADAPTER_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return number && Integer.parseInt(digits) >= 1 && Integer.parseInt(digits) <= adapters;
    }
}
