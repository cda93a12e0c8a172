package org.magnoliaseam.rollout;

import java.util.List;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.VersionedConfiguration;

/** The result of offering a configuration. */
public sealed interface OfferResult {

    /**
     * States that the configuration is now in force.
     *
     * @param configuration the configuration
     */
    record Accepted(VersionedConfiguration configuration) implements OfferResult {}

    /** States that the same configuration was already in force. */
    record Unchanged() implements OfferResult {}

    /**
     * States that a higher version is in force.
     *
     * @param inForce the version in force
     */
    record Older(long inForce) implements OfferResult {}

    /**
     * States that the configuration is invalid; the last valid one stays in force.
     *
     * @param faults all faults that were found
     */
    record Invalid(List<Fault> faults) implements OfferResult {}

    /** States that the same text was rejected as invalid before. */
    record KnownInvalid() implements OfferResult {}

    /**
     * States that the text differs from the one in force but has the same version. The text in
     * force stays in force; operators must publish a higher version.
     *
     * @param version the version
     * @param inForceDigest the digest of the text in force
     * @param offeredDigest the digest of the offered text
     */
    record Conflict(long version, String inForceDigest, String offeredDigest)
            implements OfferResult {}
}
