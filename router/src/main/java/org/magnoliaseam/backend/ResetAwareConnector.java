package org.magnoliaseam.backend;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Opens connections to backend servers that remember whether they ended with a reset. */
public final class ResetAwareConnector extends ClientConnector {

    /** Stays unused: connections to backend servers are plain, and loading TLS slows the start. */
    private static final class UnusedTls extends SslContextFactory.Client {

        @Override
        protected void doStart() {
            // Nothing is loaded, since no connection uses it.
        }
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnusedTls();
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
}
