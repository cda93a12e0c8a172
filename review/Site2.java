package stand2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Starts entry VMs with the command of the deploy file, and holds what all cases share. */
final class Site2 implements AutoCloseable {

    /** The exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;

    static final int NOT_RUN = 2;

    static final String HOST = "127.0.0.1";

    private static final long START_NANOS = System.nanoTime();

    private final Path mFolder;

    private final PrintWriter mRecord;

    private final List<Vm> mVms = new ArrayList<>();

    private final Thread mHook = new Thread(this::killAll);

    /** The figure of bounds.grace_s in the settings that are written from now on. */
    volatile String mGraceSeconds = "8";

    /** An entry VM: one process of the router. */
    static final class Vm {
        final String name;
        final int callers;
        final int readiness;
        final int peers;
        final int operators;
        Process process;

        Vm(String name, int callers, int readiness, int peers, int operators) {
            this.name = name;
            this.callers = callers;
            this.readiness = readiness;
            this.peers = peers;
            this.operators = operators;
        }
    }

    Site2(String caseFolder) throws IOException {
        mFolder = Files.createTempDirectory("review-2-");
        mRecord = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")));
        Runtime.getRuntime().addShutdownHook(mHook);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the milliseconds since the start of the case. */
    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    synchronized void record(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%7d ms  ", millis()) + String.format(Locale.ROOT, format, values);
        mRecord.println(line);
        mRecord.flush();
        if (System.getenv("VERBOSE") != null) {
            System.out.println(line);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(HOST, 0));
            return socket.getLocalPort();
        }
    }

    /** Names an entry VM; its process is started later. */
    Vm vm(String name) throws IOException {
        return new Vm(name, freePort(), freePort(), freePort(), freePort());
    }

    /** Writes the settings from the template of the deploy file and starts the process. */
    void start(Vm vm, String zone, int store, List<Vm> seeds, String... javaOptions) throws IOException {
        Path settings = writeSettings(vm, zone, store, seeds);
        List<String> command = new ArrayList<>();
        for (String word : deployed("run").split(" ")) {
            command.add(word.equals("/etc/magnoliaseam/node.toml") ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        if (javaOptions.length > 0) {
            builder.environment().put("JAVA_TOOL_OPTIONS", String.join(" ", javaOptions));
            builder.environment().put("MALLOC_ARENA_MAX", "1");
        }
        builder.redirectErrorStream(true);
        Path log = mFolder.resolve(vm.name + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        vm.process = builder.start();
        synchronized (mVms) {
            mVms.add(vm);
        }
        record("%s started", vm.name);
    }

    /** Writes the settings file of a VM anew. */
    Path writeSettings(Vm vm, String zone, int store, List<Vm> seeds) throws IOException {
        Path settings = mFolder.resolve(vm.name + ".toml");
        Files.writeString(settings, settings(vm, zone, store, seeds));
        return settings;
    }

    String log(Vm vm) throws IOException {
        return Files.readString(mFolder.resolve(vm.name + ".log"));
    }

    private static String deployed(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith(key + " = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/system.toml has no " + key);
    }

    private String settings(Vm vm, String zone, int store, List<Vm> seeds) throws IOException {
        List<String> names = seeds.stream().map(seed -> '"' + HOST + ':' + seed.peers + '"').toList();
        Map<String, String> values = new LinkedHashMap<>();
        values.put("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", String.join(",", names));
        values.put("{{node_name}}", vm.name);
        values.put("{{zone}}", zone);
        values.put("{{ip}}:9464", HOST + ':' + vm.operators);
        values.put("{{listen.front}}", HOST + ':' + vm.callers);
        values.put("{{listen.ready}}", HOST + ':' + vm.readiness);
        values.put("{{listen.control}}", HOST + ':' + vm.peers);
        values.put("{{platform.address}}", HOST + ':' + store);
        values.put("{{bounds.stable_window_ms}}", "3000");
        values.put("{{bounds.retry_budget_ratio}}", "0.2");
        values.put("{{bounds.retry_budget_slack}}", "56");
        values.put("{{bounds.grace_s}}", mGraceSeconds);
        values.put("{{#heartbeat_ms}}", "");
        values.put("{{/heartbeat_ms}}", "");
        values.put("{{.}}", "1200");
        String text = Files.readString(Path.of("deploy/settings.toml"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace(value.getKey(), value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template has a field that this stand-in does not fill: " + text);
        }
        return text;
    }

    /** Returns a figure of the process's memory in KiB, as the kernel states it. */
    static long memoryKib(Vm vm, String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + vm.process.pid() + "/status"))) {
            if (line.startsWith(field + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    /** Waits until a VM answers its readiness check with 200. */
    void awaitReady(Vm vm, long limitMillis) throws Exception {
        long end = millis() + limitMillis;
        while (millis() < end) {
            if (isReady(vm)) {
                record("%s ready", vm.name);
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException(vm.name + " did not become ready:\n" + log(vm));
    }

    static boolean isReady(Vm vm) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, vm.readiness), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(ascii("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
            return Http.head(socket.getInputStream()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this case started. */
    void signal(Vm vm, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(vm.process.pid())).inheritIO().start().waitFor();
        record("%s got SIG%s", vm.name, name);
    }

    private void killAll() {
        synchronized (mVms) {
            for (Vm vm : mVms) {
                vm.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Vm vm : mVms) {
            if (System.getenv("VERBOSE") != null) {
                System.out.println("--- log of " + vm.name + "\n" + tail(log(vm)));
            }
        }
        mRecord.close();
        try (var files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mFolder);
    }

    private static String tail(String text) {
        return text.substring(Math.max(0, text.length() - 200000));
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Runs a case and ends this process with its exit code. */
    static void main(String folder, Case body) {
        int code = NOT_RUN;
        try (Site2 site = new Site2(folder)) {
            try {
                code = body.run(site) ? HELD : BROKEN;
                site.record("result: %s", code == HELD ? "the rule held" : "the rule was broken");
            } catch (Exception e) {
                site.record("the case could not run: %s", e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.out.println("exit " + code);
        Runtime.getRuntime().halt(code);
    }

    /** A case; it returns whether the rule held. */
    interface Case {
        boolean run(Site2 site) throws Exception;
    }

    /** Reads and writes HTTP/1.1 byte by byte. */
    static final class Http {
        private Http() {}

        /** Reads a head with its empty line; empty at the end of the input. */
        static String head(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            int last = 0;
            int next;
            while ((next = in.read()) >= 0) {
                head.write(next);
                last = last << 8 | next;
                if (last == 0x0d0a0d0a) {
                    return head.toString(StandardCharsets.ISO_8859_1);
                }
            }
            return "";
        }

        static String field(String head, String name) {
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).strip();
                }
            }
            return "";
        }

        static int status(String head) {
            return head.startsWith("HTTP/1.1 ") ? Integer.parseInt(head.substring(9, 12)) : 0;
        }

        /** Reads a body; null if it ends before its framing says so. */
        static byte[] body(InputStream in, String head) throws IOException {
            if (field(head, "Transfer-Encoding").equalsIgnoreCase("chunked")) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    String line = line(in);
                    if (line.isEmpty()) {
                        return null;
                    }
                    int size = Integer.parseInt(line, 16);
                    byte[] chunk = in.readNBytes(size);
                    if (chunk.length < size) {
                        return null;
                    }
                    body.writeBytes(chunk);
                    line(in);
                    if (size == 0) {
                        return body.toByteArray();
                    }
                }
            }
            String length = field(head, "Content-Length");
            int size = length.isEmpty() ? 0 : Integer.parseInt(length);
            byte[] body = in.readNBytes(size);
            return body.length < size ? null : body;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            int next;
            while ((next = in.read()) >= 0 && next != '\n') {
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.toString();
        }
    }

    /** Accepts connections and serves each on a thread of its own. */
    static final class Listener {
        final int port;
        private final ServerSocket mSocket;
        private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();

        Listener(Connection connection) throws IOException {
            mSocket = new ServerSocket(0, 512, InetAddress.getByName(HOST));
            port = mSocket.getLocalPort();
            Thread thread = new Thread(() -> accept(connection));
            thread.setDaemon(true);
            thread.start();
        }

        private void accept(Connection connection) {
            while (true) {
                try {
                    Socket socket = mSocket.accept();
                    socket.setTcpNoDelay(true);
                    mOpen.add(socket);
                    Thread thread = new Thread(() -> serve(connection, socket));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Closes the port and all connections, as the end of a process does. */
        void close() throws IOException {
            mSocket.close();
            for (Socket socket : mOpen) {
                socket.close();
            }
        }

        private void serve(Connection connection, Socket socket) {
            try (socket) {
                connection.serve(socket, socket.getInputStream(), socket.getOutputStream());
            } catch (IOException e) {
                // The peer closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                mOpen.remove(socket);
            }
        }
    }

    /** Serves one connection. */
    interface Connection {
        void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException;
    }
}
