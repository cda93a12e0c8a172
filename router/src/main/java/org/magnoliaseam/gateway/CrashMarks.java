package org.magnoliaseam.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.magnoliaseam.leaving.ServerIncarnation;
import org.magnoliaseam.membership.StableHash;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.suspect.RequestMark;

/** Identifies requests and starts of backend servers in the records of crashes. */
final class CrashMarks {

    /** The largest number of prompt parts of a request that are considered, the last ones. */
    private static final int MAX_PARTS = 15;

    /** Selects the hash of starts of backend servers. */
    private static final int SERVER_SEED = 5;

    /** Selects the hash of failure domains. */
    private static final int DOMAIN_SEED = 6;

    /** Prevents instances of this utility class. */
    private CrashMarks() {}

    /**
     * Returns the marks of a request: those of its shared prompt parts and its own.
     *
     * @param request the request
     * @return the marks, which may be changed
     */
    static Set<RequestMark> of(GatewayRequest request) {
        List<PromptPart> parts = request.prompt().sharedParts();
        Set<RequestMark> marks = new HashSet<>();
        for (PromptPart part : parts.subList(Math.max(0, parts.size() - MAX_PARTS), parts.size())) {
            marks.add(RequestMark.ofPart(request.service().name().value(), part.id()));
        }
        String target = request.method() + " " + request.target();
        marks.add(RequestMark.ofRequest(request.accountName(), target, request.body()));
        return marks;
    }

    /**
     * Identifies the start of a backend server in a few bytes.
     *
     * @param server the start of the backend server
     * @return a hash that is the same on all entry VMs
     */
    static long of(ServerIncarnation server) {
        return StableHash.of(server.id().value() + " " + server.startMark(), SERVER_SEED);
    }

    /**
     * Identifies a failure domain in a few bytes.
     *
     * @param domain the failure domain
     * @return a hash that is the same on all entry VMs
     */
    static long of(FailureDomain domain) {
        return StableHash.of(domain.value(), DOMAIN_SEED);
    }
}
