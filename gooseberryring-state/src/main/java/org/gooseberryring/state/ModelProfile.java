package org.gooseberryring.state;

/**
 * Model that the endpoints of a service can load.
 *
 * @param id identifier, unique within the service
 * @param bytes accelerator memory used by its weights, in bytes
 * @param storeLoadMillis duration of a load from the weight store, in milliseconds
 * @param memoryLoadMillis duration of a load if the endpoint has a copy in memory, in milliseconds
 * @param diskLoadMillis duration of a load if the endpoint has a copy on disk, in milliseconds
 * @param adapters number of adapters, named a1, a2 and so on
 * @param adapterBytes accelerator memory used by one adapter, in bytes
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
        boolean isNumber = !digits.isEmpty()
                && digits.length() <= MAX_ADAPTER_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber && Integer.parseInt(digits) >= 1 && Integer.parseInt(digits) <= adapters;
    }
}
