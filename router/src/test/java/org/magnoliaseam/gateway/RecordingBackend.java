package org.magnoliaseam.gateway;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.exchange.Cancellation;

/** Records the attempts that were started. */
final class RecordingBackend implements AttemptSender {
    final List<TryOrder> mOrders = new ArrayList<>();
    final List<AttemptListener> mListeners = new ArrayList<>();
    int mCancelled;

    /** Whether a connection is made at once, so that the first byte can be sent. */
    boolean mConnects = true;

    @Override
    public Cancellation start(TryOrder order, AttemptListener listener) {
        mOrders.add(order);
        mListeners.add(listener);
        if (mConnects) {
            listener.sending();
        }
        return () -> {
            mCancelled++;
            listener.failed(BackendFailure.INCOMPLETE, "cancelled");
        };
    }

    AttemptListener last() {
        return mListeners.get(mListeners.size() - 1);
    }

    TryOrder lastOrder() {
        return mOrders.get(mOrders.size() - 1);
    }
}
