package org.magnoliaseam.backend;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Opens connections to backend servers. */
public final class BackendConnector extends ClientConnector {

    /** Prevents loading TLS, which no connection uses and which would slow down the start. */
    private static final class UnusedTls extends SslContextFactory.Client {

        @Override
        protected void doStart() {
            // Connections to backend servers use plain TCP.
        }
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnusedTls();
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new BackendEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
}
