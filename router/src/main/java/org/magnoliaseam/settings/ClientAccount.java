package org.magnoliaseam.settings;

import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;

/**
 * Describes one client account.
 *
 * @param id the name of the account
 * @param keyHashes the SHA-256 hashes of the accepted keys, in lower-case hexadecimal
 * @param classes the classes that the account may use
 * @param defaultClass the class of chat requests that do not name one
 * @param requestsPerSecond the request rate per second that each entry VM accepts
 * @param maxInFlight the largest number of requests in progress at each entry VM
 */
public record ClientAccount(
        ClientAccountId id,
        Set<String> keyHashes,
        Set<RequestClassId> classes,
        Optional<RequestClassId> defaultClass,
        double requestsPerSecond,
        int maxInFlight) {}
