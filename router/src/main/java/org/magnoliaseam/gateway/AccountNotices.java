package org.magnoliaseam.gateway;

import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs which client accounts send far more than they usually do. Guarded by the lock of the waiting
 * requests.
 */
final class AccountNotices {

    /** Logs changes of what is assumed about accounts. */
    private static final Logger LOG = LogManager.getLogger("board");

    /** The largest number of accounts of which a change is logged. */
    private static final int MAX_ACCOUNTS = 256;

    /** The accounts that send far more than they usually do. */
    private final Set<String> mExcessive = new LinkedHashSet<>();

    /**
     * Records whether an account sends far more than it usually does.
     *
     * @param account the account
     * @param excessive whether it does
     */
    void observed(String account, boolean excessive) {
        if (excessive && mExcessive.size() < MAX_ACCOUNTS && mExcessive.add(account)) {
            LOG.info("board: account is far above its usual rate, account={}", account);
        } else if (!excessive && mExcessive.remove(account)) {
            LOG.info("board: account is no longer far above its usual rate, account={}", account);
        }
    }
}
