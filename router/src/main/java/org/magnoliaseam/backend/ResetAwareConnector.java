package org.magnoliaseam.backend;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/** Opens connections to backend servers that remember whether they ended with a reset. */
public final class ResetAwareConnector extends ClientConnector {

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
}
