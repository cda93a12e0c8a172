package org.magnoliaseam.exchange;

import java.util.List;
import java.util.Optional;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.settings.RequestClass;

/**
 * Holds an authenticated request with its complete body, received from a caller or from a peer.
 *
 * @param id the request
 * @param account the client account
 * @param requestClass the request class
 * @param method the HTTP method
 * @param path the path with query for the backend server
 * @param headers the header fields to forward
 * @param body the body
 * @param stream whether the caller wants server-sent events
 * @param model the requested model; empty for plain services
 * @param affinityKey the hash of the prompt prefix; 0 if none
 * @param ticket the ticket; empty if none was sent
 * @param arrivedNanos the local monotonic time of arrival at the first entry VM
 * @param forwarded why a peer forwarded the request; empty if a caller sent it
 */
public record AuthenticatedRequest(
        RequestId id,
        ClientAccountId account,
        RequestClass requestClass,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        boolean stream,
        Optional<ModelId> model,
        long affinityKey,
        String ticket,
        long arrivedNanos,
        Optional<ForwardPurpose> forwarded) {

    /**
     * Returns whether a peer handed the request over because of its own lack of capacity.
     *
     * @return true if the request must be run here or refused, but not forwarded again
     */
    public boolean handedOver() {
        return forwarded.equals(Optional.of(ForwardPurpose.HAND_OVER));
    }
}
