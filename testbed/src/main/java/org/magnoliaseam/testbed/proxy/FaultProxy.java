package org.magnoliaseam.testbed.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.netcrusher.core.filter.TransformFilterFactory;
import org.netcrusher.core.reactor.NioReactor;
import org.netcrusher.core.throttle.ThrottlerFactory;
import org.netcrusher.tcp.TcpCrusher;
import org.netcrusher.tcp.TcpCrusherBuilder;

/** Forwards TCP connections to a target and injects faults on demand. */
public final class FaultProxy implements AutoCloseable {

    /** The linger setting with which closing resets the connection. */
    private static final int LINGER_RESET = 0;

    /** The linger setting with which closing ends the connection normally. */
    private static final int LINGER_OFF = -1;

    /** The address that the proxy listens on. */
    private final ListenAddress mAddress;

    /** The threads of the front stage. */
    private final NioReactor mFrontReactor = new NioReactor();

    /** The threads of the back stage; if shared, closing the stage would not end connections. */
    private final NioReactor mBackReactor = new NioReactor();

    /** The stage that accepts clients; closing it resets connections. */
    private final TcpCrusher mFront;

    /** The stage that connects to the target; closing it ends connections normally. */
    private final TcpCrusher mBack;

    /** The clients whose connections have lost bytes and are closed when the fault ends. */
    private final Set<InetSocketAddress> mDamaged = ConcurrentHashMap.newKeySet();

    /** The current faults. */
    private volatile LinkFaults mFaults = LinkFaults.NONE;

    /**
     * Starts a proxy.
     *
     * @param listen the address to listen on
     * @param target the address to forward connections to
     * @throws IOException if the address cannot be bound
     */
    public FaultProxy(ListenAddress listen, ListenAddress target) throws IOException {
        ListenAddress between = ListenAddress.loopback(freePort());
        mAddress = listen.port() == 0 ? ListenAddress.loopback(freePort()) : listen;
        mBack = crusher(between, target, LINGER_OFF).withReactor(mBackReactor).buildAndOpen();
        mFront =
                crusher(mAddress, between, LINGER_RESET)
                        .withReactor(mFrontReactor)
                        .withOutgoingTransformFilterFactory(filter(() -> mFaults.toTarget()))
                        .withIncomingTransformFilterFactory(filter(() -> mFaults.toClient()))
                        .withOutgoingThrottlerFactory(throttler(() -> mFaults.toTarget()))
                        .withIncomingThrottlerFactory(throttler(() -> mFaults.toClient()))
                        .buildAndOpen();
    }

    /**
     * Returns the address that the proxy listens on.
     *
     * @return the address
     */
    public ListenAddress address() {
        return mAddress;
    }

    /**
     * Replaces the faults of the link.
     *
     * @param faults the new faults
     */
    public synchronized void apply(LinkFaults faults) {
        mFaults = faults;
        if (!faults.has(Fault.BLACKHOLE)) {
            mDamaged.forEach(mFront::closeClient);
            mDamaged.clear();
        }
        setOpen(mBack, !faults.has(Fault.CUT));
        setOpen(mFront, !faults.has(Fault.RESET));
    }

    /** Removes all faults. */
    public void heal() {
        apply(LinkFaults.NONE);
    }

    @Override
    public synchronized void close() {
        setOpen(mFront, false);
        setOpen(mBack, false);
        mFrontReactor.close();
        mBackReactor.close();
    }

    /**
     * Opens or closes a stage.
     *
     * @param stage the stage
     * @param open whether it should be open
     */
    private static void setOpen(TcpCrusher stage, boolean open) {
        if (open && !stage.isOpen()) {
            stage.open();
        } else if (!open && stage.isOpen()) {
            stage.close();
        }
    }

    /**
     * Creates the builder of a stage.
     *
     * @param listen the address to listen on
     * @param target the address to connect to
     * @param linger the linger setting
     * @return the builder
     */
    private static TcpCrusherBuilder crusher(
            ListenAddress listen, ListenAddress target, int linger) {
        return TcpCrusherBuilder.builder()
                .withBindAddress(listen.host(), listen.port())
                .withConnectAddress(target.host(), target.port())
                .withTcpNoDelay(true)
                .withLingerMs(linger);
    }

    /**
     * Creates the filters of one direction, which drop bytes during a blackhole fault.
     *
     * @param fault returns the current fault of the direction
     * @return the factory of the filters
     */
    private TransformFilterFactory filter(Supplier<Fault> fault) {
        return client ->
                buffer -> {
                    if (fault.get() == Fault.BLACKHOLE) {
                        mDamaged.add(client);
                        buffer.position(buffer.limit());
                    }
                };
    }

    /**
     * Creates the throttlers of one direction, which delay bytes during a delay fault.
     *
     * @param fault returns the current fault of the direction
     * @return the factory of the throttlers
     */
    private ThrottlerFactory throttler(Supplier<Fault> fault) {
        return client ->
                buffer ->
                        fault.get() == Fault.DELAY
                                ? TimeUnit.MILLISECONDS.toNanos(mFaults.delayMillis())
                                : 0;
    }

    /**
     * Finds a free port.
     *
     * @return the port
     * @throws IOException if there is none
     */
    private static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName(ListenAddress.LOOPBACK))) {
            return socket.getLocalPort();
        }
    }
}
