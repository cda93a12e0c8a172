package org.magnoliaseam.testbed.proxy;

import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.HttpExchange;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.StandInServer;

/** Runs the fault proxy with an HTTP port that controls its faults. */
public final class ProxyCommand implements Subcommand {

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser()
                        .required("listen")
                        .required("target")
                        .required("control")
                        .parse(args);
        FaultProxy proxy =
                new FaultProxy(address(arguments, "listen"), address(arguments, "target"));
        new StandInServer(address(arguments, "control"), exchange -> control(proxy, exchange))
                .start();
        System.out.println("ready " + proxy.address());
        return -1;
    }

    /**
     * Reads an address.
     *
     * @param arguments the arguments
     * @param option the option
     * @return the address
     */
    private static ListenAddress address(Arguments arguments, String option) {
        return ListenAddress.parse(arguments.text(option).orElseThrow());
    }

    /**
     * Handles a request to replace the faults.
     *
     * @param proxy the proxy
     * @param exchange the request of the test
     */
    private static void control(FaultProxy proxy, HttpExchange exchange) {
        if (!exchange.route().equals("POST /test/fault")) {
            exchange.empty(404);
            return;
        }
        proxy.apply(Json.read(exchange.body(), LinkFaults.class));
        exchange.empty(204);
    }
}
