package org.magnoliaseam.testbed;

/** Runs one command of the test bed. */
@FunctionalInterface
public interface Subcommand {

    /**
     * Runs the command.
     *
     * @param args the arguments after the command's name
     * @return the exit code, or a negative number if the process keeps running until it is
     *     terminated
     * @throws Exception if the command fails
     */
    int run(String[] args) throws Exception;
}
