package org.magnoliaseam.rollout;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationLoader;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.VersionedConfiguration;

/**
 * Decides which configuration is in force in this process. The version never decreases. Not
 * thread-safe.
 */
public final class ConfigurationRollout {

    /** The maximum number of invalid texts that are remembered. */
    private static final int MAX_INVALID = 64;

    /** Validates source texts. */
    private final ConfigurationLoader mLoader;

    /** The digests of texts that were rejected as invalid, oldest first. */
    private final Set<TextDigest> mInvalid = new LinkedHashSet<>();

    /** The configuration in force; null before the first. */
    private VersionedConfiguration mInForce;

    /** The digest of the text in force; null before the first. */
    private TextDigest mInForceDigest;

    /**
     * Creates a rollout with no configuration in force.
     *
     * @param loader validates source texts
     */
    public ConfigurationRollout(ConfigurationLoader loader) {
        mLoader = loader;
    }

    /**
     * Offers a configuration that came from the platform or a peer. Both are validated in the same
     * way.
     *
     * @param text the source text
     * @return the result
     */
    public OfferResult offer(ConfigurationText text) {
        if (text.version() < version()) {
            return new OfferResult.Older(version());
        }
        TextDigest digest = TextDigest.of(text);
        if (mInForce != null && text.version() == version()) {
            return digest.equals(mInForceDigest)
                    ? new OfferResult.Unchanged()
                    : new OfferResult.Conflict(version(), mInForceDigest.value(), digest.value());
        }
        if (mInvalid.contains(digest)) {
            return new OfferResult.KnownInvalid();
        }
        Result<Configuration, List<Fault>> result = mLoader.load(text);
        if (result instanceof Result.Err<Configuration, List<Fault>> err) {
            rememberInvalid(digest);
            return new OfferResult.Invalid(err.error());
        }
        Configuration configuration = ((Result.Ok<Configuration, List<Fault>>) result).value();
        mInForce = new VersionedConfiguration(text.version(), configuration, text);
        mInForceDigest = digest;
        return new OfferResult.Accepted(mInForce);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first
     */
    public Optional<VersionedConfiguration> inForce() {
        return Optional.ofNullable(mInForce);
    }

    /**
     * Returns the version in force.
     *
     * @return the version; 0 before the first
     */
    public long version() {
        return mInForce == null ? 0 : mInForce.version();
    }

    /**
     * Returns the version above which a configuration is requested from the platform, so that an
     * invalid text is not read repeatedly.
     *
     * @return the highest version in force or remembered as invalid
     */
    public long highestSeenVersion() {
        long highest = version();
        for (TextDigest digest : mInvalid) {
            highest = Math.max(highest, digest.version());
        }
        return highest;
    }

    /**
     * Returns whether a version was rejected as invalid.
     *
     * @param version the version
     * @return true if a text with that version was invalid
     */
    public boolean isKnownInvalid(long version) {
        return mInvalid.stream().anyMatch(digest -> digest.version() == version);
    }

    /**
     * Remembers an invalid text.
     *
     * @param digest the digest of the text
     */
    private void rememberInvalid(TextDigest digest) {
        if (mInvalid.size() >= MAX_INVALID) {
            mInvalid.remove(mInvalid.iterator().next());
        }
        mInvalid.add(digest);
    }
}
