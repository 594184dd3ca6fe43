package org.verbenatray.configuration;

/**
 * A configuration that was accepted.
 *
 * @param offset the offset of the record that brought it into force, -1 for none
 * @param hash the hash chained over all accepted changes, in hexadecimal
 * @param fleet the merged configuration
 */
public record ActiveConfiguration(long offset, String hash, FleetConfiguration fleet) {
    /** Returns the configuration before the first record. */
    public static ActiveConfiguration none() {
        return new ActiveConfiguration(-1, "", FleetConfiguration.empty());
    }
}
