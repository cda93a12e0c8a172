package org.magnoliaseam.route;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.VmId;

/** Creates the header fields that tell a caller where its answer came from. */
final class AnswerHeaders {

    /** The header field that names the entry VM. */
    private static final String ENTRY_VM = "X-Entry-VM";

    /** The header field that names the backend server. */
    private static final String BACKEND_SERVER = "X-Backend-Server";

    /** The header field that states the reason for the choice. */
    private static final String DECISION = "X-Decision";

    /** Prevents instances of this utility class. */
    private AnswerHeaders() {}

    /**
     * Creates the header fields.
     *
     * @param vm the entry VM
     * @param server the backend server; empty if a peer names it
     * @param reason the reason for the choice
     * @return the header fields
     */
    static List<Header> of(VmId vm, String server, String reason) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header(ENTRY_VM, vm.value()));
        if (!server.isEmpty()) {
            headers.add(new Header(BACKEND_SERVER, server));
        }
        headers.add(new Header(DECISION, reason.replaceAll("[^\\x20-\\x7e]", " ")));
        return headers;
    }
}
