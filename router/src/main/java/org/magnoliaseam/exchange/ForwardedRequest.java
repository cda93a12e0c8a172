package org.magnoliaseam.exchange;

import java.util.List;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;

/**
 * Holds a request that one entry VM forwards to another. The sender has authenticated the caller.
 *
 * @param id the request
 * @param purpose why the request is forwarded
 * @param from the VM that forwards it
 * @param account the client account
 * @param requestClass the request class
 * @param ticket the ticket; empty if the request needs none
 * @param method the HTTP method
 * @param path the path with query
 * @param headers the header fields to forward
 * @param body the body
 * @param waitedMillis the time since the request arrived at the first entry VM, in milliseconds
 */
public record ForwardedRequest(
        RequestId id,
        ForwardPurpose purpose,
        VmId from,
        ClientAccountId account,
        RequestClassId requestClass,
        String ticket,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        long waitedMillis) {}
