package org.magnoliaseam.dispatch;

import java.util.Optional;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestClassId;

/**
 * Identifies a candidate set: requests with equal keys may run on the same servers.
 *
 * @param requestClass the class of the requests
 * @param model the model; empty for plain services
 */
record CandidateKey(RequestClassId requestClass, Optional<ModelId> model) {}
