package org.magnoliaseam.testbed.capacity;

import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Answers requests for the load reports of many idle backend servers from one process. */
public final class LoadsCommand implements Subcommand {

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser().required("listen").optional("count").parse(args);
        ListenAddress first = ListenAddress.parse(arguments.text("listen").orElseThrow());
        LoadReporter reporter = new LoadReporter();
        int count = arguments.integer("count", 1);
        for (int i = 0; i < count; i++) {
            reporter.listen(new ListenAddress(first.host(), first.port() + i));
        }
        System.out.println("ready " + first);
        reporter.serve();
        return 0;
    }
}
