package org.magnoliaseam.explain;

import java.util.List;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.Tier;
import org.magnoliaseam.model.VmId;

/**
 * Holds the events and the outcome of one request at one entry VM.
 *
 * @param requestId the request
 * @param entryVm the entry VM that wrote the record
 * @param account the client account
 * @param requestClass the request class
 * @param tier the tier of the class
 * @param configurationVersion the version of the configuration in force at arrival
 * @param configurationDigest the digest of that configuration
 * @param arrivedEpochMillis the wall-clock time of arrival in milliseconds since 1970
 * @param events the events in order of time
 * @param summary the outcome, times and counts
 */
public record DecisionRecord(
        RequestId requestId,
        VmId entryVm,
        ClientAccountId account,
        RequestClassId requestClass,
        Tier tier,
        long configurationVersion,
        String configurationDigest,
        long arrivedEpochMillis,
        List<RecordEvent> events,
        RecordSummary summary) {}
