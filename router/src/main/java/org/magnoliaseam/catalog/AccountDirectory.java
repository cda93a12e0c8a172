package org.magnoliaseam.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * Finds client accounts by their API keys. Accounts without a key are published too, so a directory
 * without keys does not mean that callers need none. Immutable.
 */
public final class AccountDirectory {

    /** The directory of a catalog without client accounts, whose callers need no key. */
    public static final AccountDirectory NONE = new AccountDirectory(false, Map.of());

    /** Whether callers need a key. */
    private final boolean mKeyed;

    /** The client accounts by key. */
    private final Map<String, Account> mByKey;

    /**
     * Creates a directory.
     *
     * @param keyed whether callers need a key
     * @param byKey the client accounts by key
     */
    private AccountDirectory(boolean keyed, Map<String, Account> byKey) {
        mKeyed = keyed;
        mByKey = Map.copyOf(byKey);
    }

    /**
     * Creates the directory of a catalog whose callers need a key.
     *
     * @param byKey the client accounts by key; empty if no key is accepted
     * @return the directory
     */
    public static AccountDirectory of(Map<String, Account> byKey) {
        return new AccountDirectory(true, byKey);
    }

    /**
     * Tells whether callers need a key.
     *
     * @return true if client accounts are published, with or without keys
     */
    public boolean keyed() {
        return mKeyed;
    }

    /**
     * Finds the client account that a key belongs to.
     *
     * @param key the key
     * @return the account, if there is one
     */
    public Optional<Account> account(String key) {
        return Optional.ofNullable(mByKey.get(key));
    }
}
