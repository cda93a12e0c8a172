package org.magnoliaseam.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;

/**
 * Computes the share of this entry VM while entry VMs may have different versions of the list. A
 * share decreases at once and increases only after the longest expected lag of the list, so that
 * the sum of all shares stays within the limit unless a list lags longer. Not thread-safe.
 */
public final class ShareWindow {

    /**
     * Holds a list that has been replaced by a newer one.
     *
     * @param list the list
     * @param replacedNanos the local monotonic time of the replacement
     */
    private record Replaced(ListSubsets list, long replacedNanos) {}

    /** This entry VM. */
    private final VmId mSelf;

    /** The local monotonic time at which the process started. */
    private final long mStartNanos;

    /** The replaced lists, oldest first; {@link #share} drops those older than the lag. */
    private final Deque<Replaced> mReplaced = new ArrayDeque<>();

    /** The current list; null before the first. */
    private ListSubsets mList;

    /**
     * Creates a window without a list.
     *
     * @param self this entry VM
     * @param startNanos the local monotonic time of the start of the process
     */
    public ShareWindow(VmId self, long startNanos) {
        mSelf = self;
        mStartNanos = startNanos;
    }

    /**
     * Sets the current list; ignores a list that is not newer.
     *
     * @param list the list
     * @param nowNanos the local monotonic time
     */
    public void update(MemberList list, long nowNanos) {
        if (mList != null && list.version() <= mList.version()) {
            return;
        }
        if (mList != null) {
            mReplaced.addLast(new Replaced(mList, nowNanos));
        }
        mList = new ListSubsets(list);
    }

    /**
     * Tells whether this entry VM uses a server under the current list or a replaced one within the
     * lag.
     *
     * @param server the backend server
     * @return true if it does, or if there is no list yet
     */
    public boolean uses(BackendServer server) {
        if (mList == null || mList.of(server).contains(mSelf)) {
            return true;
        }
        return mReplaced.stream().anyMatch(replaced -> replaced.list().of(server).contains(mSelf));
    }

    /**
     * Computes the share of this entry VM, which is the smallest one under the current list and the
     * lists replaced within the lag. It is zero until the lag has passed since the start of the
     * process, because other VMs may still use lists that do not contain this VM.
     *
     * @param server the backend server
     * @param lag the longest expected lag of the list
     * @param nowNanos the local monotonic time
     * @return the requests that this VM may have running on the server
     */
    public int share(BackendServer server, Duration lag, long nowNanos) {
        if (mList == null || nowNanos - mStartNanos <= lag.toNanos()) {
            return 0;
        }
        while (!mReplaced.isEmpty()
                && nowNanos - mReplaced.getFirst().replacedNanos() > lag.toNanos()) {
            mReplaced.removeFirst();
        }
        int share = ShareCalculator.share(mList.of(server), server, mSelf);
        for (Replaced replaced : mReplaced) {
            share =
                    Math.min(
                            share,
                            ShareCalculator.share(replaced.list().of(server), server, mSelf));
        }
        return share;
    }
}
