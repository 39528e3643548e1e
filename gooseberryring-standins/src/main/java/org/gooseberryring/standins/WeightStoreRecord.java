package org.gooseberryring.standins;

/**
 * Counters of a weight store stand-in.
 *
 * @param modelLoads number of model loads started
 * @param modelPeak largest number of model loads in flight
 * @param adapterLoads number of adapter loads started
 * @param adapterPeak largest number of adapter loads in flight
 */
public record WeightStoreRecord(long modelLoads, int modelPeak, long adapterLoads, int adapterPeak) {}
