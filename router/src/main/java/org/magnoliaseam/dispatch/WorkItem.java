package org.magnoliaseam.dispatch;

import java.util.Optional;
import java.util.Set;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.settings.RequestClass;

/**
 * Describes one request to the dispatcher.
 *
 * @param id the request
 * @param requestClass its class
 * @param account its client account
 * @param model the model asked for; empty for plain services
 * @param affinityKey the hash of the prompt prefix; 0 if none
 * @param arrivedNanos the local monotonic time of arrival at the first entry VM
 * @param excluded the servers that must not be tried again
 * @param started whether an earlier try may have sent a byte to a backend server
 * @param relayedTokens the number of tokens already relayed to the caller
 * @param resumable whether the request can be cancelled and resumed later
 * @param handedOver whether the request came from a peer and must not be handed over again
 */
public record WorkItem(
        RequestId id,
        RequestClass requestClass,
        ClientAccountId account,
        Optional<ModelId> model,
        long affinityKey,
        long arrivedNanos,
        Set<BackendServerId> excluded,
        boolean started,
        int relayedTokens,
        boolean resumable,
        boolean handedOver) {}
