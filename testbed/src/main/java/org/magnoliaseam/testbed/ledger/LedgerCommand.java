package org.magnoliaseam.testbed.ledger;

import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.http.StandInServer;

/** Runs the stand-in for a plain service. */
public final class LedgerCommand implements Subcommand {

    /** The milliseconds from the start of an order to its answer, unless an option changes it. */
    private static final int DELAY_MILLIS = 5;

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser()
                        .required("listen")
                        .optional("name", "delay-millis")
                        .parse(args);
        ListenAddress address = ListenAddress.parse(arguments.text("listen").orElseThrow());
        LedgerStandIn ledger =
                new LedgerStandIn(
                        arguments.text("name", "ledger"),
                        arguments.integer("delay-millis", DELAY_MILLIS));
        new StandInServer(address, ledger).startAndReport();
        return -1;
    }
}
