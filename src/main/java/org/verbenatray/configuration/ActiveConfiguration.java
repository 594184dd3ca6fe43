package org.verbenatray.configuration;

/**
 * The configuration that is active after the latest accepted change set; immutable.
 *
 * @param offset the log offset of the change set that activated it, -1 for none
 * @param hash the hash chained over all accepted change sets, in hexadecimal; empty before the first
 * @param fleet the merged configuration
 */
public record ActiveConfiguration(long offset, String hash, FleetConfiguration fleet) {
    /** Returns the empty configuration that is active before the first change set. */
    public static ActiveConfiguration none() {
        return new ActiveConfiguration(-1, "", FleetConfiguration.empty());
    }
}
