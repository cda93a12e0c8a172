package org.magnoliaseam.operator;

import java.util.Map;
import java.util.Optional;
import org.magnoliaseam.model.VmId;

/** Reads pages from the other entry VMs. */
@FunctionalInterface
public interface PeerPages {

    /**
     * Requests a page from all other entry VMs in the VM list in parallel.
     *
     * @param path the path of the page
     * @return the text from each entry VM; empty for one that did not answer in time
     */
    Map<VmId, Optional<String>> ask(String path);
}
