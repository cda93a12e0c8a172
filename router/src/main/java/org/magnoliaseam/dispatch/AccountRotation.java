package org.magnoliaseam.dispatch;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.magnoliaseam.model.ClientAccountId;

/** Queues requests and serves the client accounts round robin. */
final class AccountRotation {

    /** Tells whether a request still belongs to this rotation. */
    private final Predicate<WaitingRequest> mBelongs;

    /** The queues of the accounts. */
    private final Map<ClientAccountId, AccountQueue> mAccounts = new HashMap<>();

    /** The accounts with requests, in the order in which they are served. */
    private final ArrayDeque<AccountQueue> mRotation = new ArrayDeque<>();

    /**
     * Creates an empty rotation.
     *
     * @param belongs tells whether a request still belongs to this rotation; once false, the result
     *     must stay false
     */
    AccountRotation(Predicate<WaitingRequest> belongs) {
        mBelongs = belongs;
    }

    /**
     * Adds a request.
     *
     * @param request the request
     */
    void add(WaitingRequest request) {
        AccountQueue account =
                mAccounts.computeIfAbsent(
                        request.work().account(), id -> new AccountQueue(mBelongs));
        account.add(request);
        if (!account.inRotation()) {
            account.inRotation(true);
            mRotation.addLast(account);
        }
    }

    /**
     * Decreases the size of an account after a request has left this rotation.
     *
     * @param request a request of this rotation
     */
    void removed(WaitingRequest request) {
        mAccounts.get(request.work().account()).removed();
    }

    /**
     * Returns the next request without removing it.
     *
     * @return the next request, or null if there is none
     */
    WaitingRequest peek() {
        while (!mRotation.isEmpty()) {
            WaitingRequest first = mRotation.peekFirst().first();
            if (first != null) {
                return first;
            }
            mRotation.pollFirst().inRotation(false);
        }
        return null;
    }

    /** Moves the account whose turn it is to the end of the rotation. */
    void rotate() {
        AccountQueue account = mRotation.pollFirst();
        if (account == null) {
            return;
        }
        if (account.size() > 0) {
            mRotation.addLast(account);
        } else {
            account.inRotation(false);
        }
    }

    /**
     * Returns the newest request of the account with the most requests.
     *
     * @return the request, or null if there is none
     */
    WaitingRequest newestOfLargestAccount() {
        AccountQueue largest = null;
        for (AccountQueue account : mRotation) {
            if (largest == null || account.size() > largest.size()) {
                largest = account;
            }
        }
        return largest == null ? null : largest.last();
    }
}
