import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.DatagramSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the store stand-in, replica stand-ins, and routers that
 * are started with the command and the settings template of the deploy file.
 */
final class Site implements AutoCloseable {
    /** The bounds of kameelboom-seam that the settings template uses. */
    private static final Map<String, String> BOUNDS =
            Map.of(
                    "bounds.stable_window_ms", "3000",
                    "bounds.retry_budget_ratio", "0.2",
                    "bounds.retry_budget_slack", "54",
                    "bounds.grace_s", "8");

    /** One entry VM. All its addresses have the same loopback host. */
    static final class Router {
        final String name;
        final String host;
        final String zone;
        final int callers;
        final int ready;
        final int peers;
        final int operators;
        Process process;

        Router(String name, String host, String zone) throws IOException {
            this.name = name;
            this.host = host;
            this.zone = zone;
            callers = freePort(host);
            ready = freePort(host);
            peers = freePort(host);
            operators = freePort(host);
        }
    }

    final Path repository;
    final Path folder;
    final Store store;
    final List<Replica> replicas = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    private final PrintWriter record;
    private final long begin = System.nanoTime();

    Site(Path repository, Path recordFile) throws IOException {
        this.repository = repository;
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killRouters));
    }

    /** Writes a line with the time since the begin to the record. */
    void note(String text) {
        synchronized (record) {
            double seconds = (System.nanoTime() - begin) / 1e9;
            record.printf("%8.3f  %s%n", seconds, text);
            record.flush();
        }
    }

    static int freePort(String host) throws IOException {
        while (true) {
            try (ServerSocket tcp = new ServerSocket()) {
                tcp.bind(new InetSocketAddress(host, 0));
                try (DatagramSocket udp =
                        new DatagramSocket(new InetSocketAddress(host, tcp.getLocalPort()))) {
                    return udp.getLocalPort();
                } catch (IOException e) {
                    // The port is taken for datagrams; try another one.
                }
            }
        }
    }

    Router addRouter(String name, String host, String zone) throws IOException {
        Router router = new Router(name, host, zone);
        routers.add(router);
        return router;
    }

    /** Starts a router as the deploy file says. */
    void start(Router router) throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Path settings = folder.resolve(router.name + ".toml");
        String template = Files.readString(repository.resolve("deploy/settings.toml"));
        Files.writeString(settings, fill(template, router));
        List<String> command = new ArrayList<>();
        for (String word : Arrays.asList(key(deploy, "run").split(" "))) {
            boolean path = word.equals("/etc/magnoliaseam/node.toml");
            command.add(path ? settings.toString() : word);
        }
        Path log = folder.resolve(router.name + ".log");
        router.process =
                new ProcessBuilder(command)
                        .directory(repository.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        note("started router " + router.name + " pid=" + router.process.pid());
    }

    private static String key(String text, String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no " + name);
        }
        return matcher.group(1);
    }

    private String fill(String template, Router router) {
        List<String> seeds = new ArrayList<>();
        for (Router seed : routers.subList(0, Math.min(3, routers.size()))) {
            seeds.add('"' + seed.host + ":" + seed.peers + '"');
        }
        String text =
                template.replaceAll(
                        "\\{\\{#seeds}}.*\\{\\{/seeds}}",
                        Matcher.quoteReplacement(String.join(",", seeds)));
        text = text.replace("{{node_name}}", router.name);
        text = text.replace("{{zone}}", router.zone);
        text = text.replace("{{ip}}:9464", router.host + ":" + router.operators);
        text = text.replace("{{listen.front}}", router.host + ":" + router.callers);
        text = text.replace("{{listen.ready}}", router.host + ":" + router.ready);
        text = text.replace("{{listen.control}}", router.host + ":" + router.peers);
        text = text.replace("{{platform.address}}", store.address());
        for (Map.Entry<String, String> bound : BOUNDS.entrySet()) {
            text = text.replace("{{" + bound.getKey() + "}}", bound.getValue());
        }
        if (text.contains("{{")) {
            throw new IllegalStateException("the settings template has an unknown field");
        }
        return text;
    }

    boolean awaitReady(Router router, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() - end < 0) {
            try {
                Client.Answer answer =
                        Client.once(router.host, router.ready, "GET /-/ready HTTP/1.1\r\n"
                                + "Host: ready\r\nConnection: close\r\n\r\n", 1000);
                if (answer.status == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        return false;
    }

    Replica addReplica(String id, String service, String zone, int slots) throws IOException {
        Replica replica = new Replica(this, id, service, zone, slots);
        replicas.add(replica);
        replica.publish("ready");
        return replica;
    }

    private void killRouters() {
        for (Router router : routers) {
            if (router.process != null) {
                router.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killRouters();
        for (Router router : routers) {
            try {
                if (router.process != null) {
                    router.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        for (Replica replica : replicas) {
            replica.close();
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        record.close();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static InetAddress loopback(String host) throws IOException {
        InetAddress address = InetAddress.getByName(host);
        if (!address.isLoopbackAddress()) {
            throw new IOException("not a loopback address");
        }
        return address;
    }
}
