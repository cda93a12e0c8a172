package org.magnoliaseam.testbed.archive;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.testbed.Arguments;
import org.magnoliaseam.testbed.CommandLineParser;
import org.magnoliaseam.testbed.Subcommand;
import org.magnoliaseam.testbed.http.ListenAddress;
import org.magnoliaseam.testbed.store.ServerStandIn;

/**
 * Runs a router, from the current folder, between stand-ins through requests of each kind,
 * refusals, retries and changes of what is published. The router writes the class archive when it
 * ends. Prints the processor time of the start and of the requests.
 */
public final class TrainCommand implements Subcommand {

    /** The options that each router gets; those of the deployment that decide the archive. */
    private static final List<String> JAVA_OPTIONS =
            List.of(
                    "-XX:-UsePerfData",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss256k",
                    "-Xmx128m");

    /** The paths of the requests: one of each kind, and unknown ones. */
    private static final List<String> PATHS =
            List.of("/stream/x", "/lookup/x?y=1", "/pay/x", "/none/x");

    /** The rounds of requests to sound backend servers, unless the option says otherwise. */
    private static final int DEFAULT_ROUNDS = 20;

    /** The rounds of requests in each mode of the first backend servers. */
    private static final int FAULT_ROUNDS = 3;

    /** The longest wait until the router is ready. */
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    /** The time in which a published change takes effect, in milliseconds. */
    private static final long CHANGE_MILLIS = 300;

    /** The time limit of a request. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);

    /** The client. */
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** The requests sent so far. */
    private int mRequests;

    @Override
    public int run(String[] args) throws Exception {
        Arguments arguments =
                new CommandLineParser()
                        .required("jar")
                        .required("folder")
                        .optional("archive", "use", "rounds")
                        .parse(args);
        Path folder = Files.createDirectories(Path.of(arguments.text("folder").orElseThrow()));
        List<String> archive = new ArrayList<>();
        arguments
                .text("archive")
                .ifPresent(file -> archive.add("-XX:ArchiveClassesAtExit=" + file));
        arguments.text("use").ifPresent(file -> archive.add("-XX:SharedArchiveFile=" + file));
        String jar = arguments.text("jar").orElseThrow();
        int rounds = arguments.integer("rounds", DEFAULT_ROUNDS);
        try (TrainingSite site =
                new TrainingSite(
                        folder.toAbsolutePath(), command(archive, jar), command(List.of(), jar))) {
            awaitReady(site);
            Duration started = site.processorTime();
            train(site, rounds);
            Duration ended = site.processorTime();
            System.out.printf(
                    "processor time: start %d ms, %d requests %d ms%n",
                    started.toMillis(), mRequests, ended.minus(started).toMillis());
        }
        return 0;
    }

    /**
     * Returns the command line of a router without the settings file.
     *
     * @param archive the options that write or use a class archive
     * @param jar the router
     * @return the command line
     */
    private static List<String> command(List<String> archive, String jar) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(archive);
        command.addAll(JAVA_OPTIONS);
        command.addAll(List.of("-jar", jar, "route", "--publisher", "store", "--settings"));
        return command;
    }

    /**
     * Sends requests while backend servers fail and what is published changes.
     *
     * @param site the site
     * @param rounds the rounds of requests to sound backend servers
     * @throws Exception if the thread was interrupted
     */
    private void train(TrainingSite site, int rounds) throws Exception {
        send(site.callers(), rounds);
        for (ServerStandIn.Mode mode :
                List.of(
                        ServerStandIn.Mode.REFUSE,
                        ServerStandIn.Mode.LOSE_ANSWER,
                        ServerStandIn.Mode.CUT_STREAM,
                        ServerStandIn.Mode.FOREIGN)) {
            site.mode(mode);
            send(site.callers(), FAULT_ROUNDS);
        }
        site.mode(ServerStandIn.Mode.SOUND);
        site.configure(2);
        site.evacuate("domain-0", true);
        TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
        send(site.callers(), FAULT_ROUNDS);
        site.evacuate("domain-1", true);
        TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
        send(site.callers(), 1);
        site.evacuate("domain-0", false);
        site.evacuate("domain-1", false);
        TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
        send(site.callers(), FAULT_ROUNDS);
    }

    /**
     * Sends requests of each kind one after another.
     *
     * @param callers the callers' port
     * @param rounds the number of requests of each kind
     * @throws InterruptedException if the thread was interrupted
     */
    private void send(ListenAddress callers, int rounds) throws InterruptedException {
        for (int i = 0; i < rounds * PATHS.size(); i++) {
            status(callers, PATHS.get(i % PATHS.size()), "key-1");
        }
        status(callers, PATHS.get(0), "unknown");
    }

    /**
     * Sends a request.
     *
     * @param address the port
     * @param path the path
     * @param key the API key
     * @return the status; 0 if there was no answer
     * @throws InterruptedException if the thread was interrupted
     */
    private int status(ListenAddress address, String path, String key) throws InterruptedException {
        mRequests++;
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(REQUEST_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString("{}"))
                        .header("X-Request-Id", "training-" + mRequests)
                        .header("X-Deadline-Ms", "3000")
                        .header("X-Model", "m")
                        .header("X-Token-Counts", "1460,80")
                        .header("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
                        .header("Authorization", "Bearer " + key)
                        .build();
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Waits until the trained router is ready.
     *
     * @param site the site
     * @throws Exception if it is not ready in time
     */
    private void awaitReady(TrainingSite site) throws Exception {
        long end = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (status(site.readiness(), "/-/ready", "") != 200) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("the router is not ready in time");
            }
            TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS);
        }
        mRequests = 0;
    }
}
