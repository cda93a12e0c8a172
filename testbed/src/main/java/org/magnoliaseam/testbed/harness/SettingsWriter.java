package org.magnoliaseam.testbed.harness;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Writes the settings of a test site in TOML. */
final class SettingsWriter {

    /** The description of the site. */
    private final SiteSpec mSpec;

    /**
     * Creates a writer.
     *
     * @param spec the description of the site
     */
    SettingsWriter(SiteSpec spec) {
        mSpec = spec;
    }

    /**
     * Writes the base file.
     *
     * @param engines the engines with the addresses that entry VMs use
     * @param ledgers the ledgers with the addresses that entry VMs use
     * @return the TOML text
     */
    String base(List<Member> engines, List<Member> ledgers) {
        StringBuilder text = new StringBuilder("[routing]\n");
        mSpec.routing().forEach(line -> text.append(line).append('\n'));
        for (ClassSpec spec : mSpec.classes()) {
            text.append(requestClass(spec, spec.chat() ? engines : ledgers));
        }
        engines.forEach(engine -> text.append(engine(engine)));
        ledgers.forEach(ledger -> text.append(ledger(ledger)));
        for (int i = 0; i < SiteSpec.KEYS.size(); i++) {
            text.append(account("account-" + (i + 1), SiteSpec.KEYS.get(i)));
        }
        return text.toString();
    }

    /**
     * Writes the settings of one process.
     *
     * @param vm the VM
     * @param addresses the addresses of the process
     * @param platform the address of the platform
     * @param secretFile the file with the secret of the entry VMs
     * @param peers the other entry VMs with the addresses that this one uses
     * @return the TOML text
     */
    String local(
            Member vm,
            EntryAddresses addresses,
            ListenAddress platform,
            String secretFile,
            List<Member> peers) {
        StringBuilder text = new StringBuilder();
        text.append("vm = \"%s\"\n".formatted(vm.name()));
        text.append("site = \"%s\"\n".formatted(SiteSpec.SITE));
        text.append("region = \"%s\"\n".formatted(SiteSpec.REGION));
        text.append("failure-domain = \"%s\"\n".formatted(vm.failureDomain()));
        text.append("callers-address = \"%s\"\n".formatted(addresses.callers()));
        text.append("operators-address = \"%s\"\n".formatted(addresses.operators()));
        text.append("peers-address = \"%s\"\n".formatted(addresses.peers()));
        text.append("platform = \"http://%s\"\n".formatted(platform));
        text.append("peer-secret-file = \"%s\"\n".formatted(secretFile));
        text.append("dispatch-policy = \"%s\"\n".formatted(mSpec.dispatchPolicy()));
        text.append("balancer-grace = \"%s\"\n".formatted(mSpec.balancerGrace()));
        for (Member peer : peers) {
            text.append("[[peers]]\nvm = \"%s\"\n".formatted(peer.name()));
            text.append("address = \"%s\"\n".formatted(peer.address()));
        }
        return text.toString();
    }

    /**
     * Writes a request class.
     *
     * @param spec the class
     * @param servers the backend servers that may run it
     * @return the TOML text
     */
    private String requestClass(ClassSpec spec, List<Member> servers) {
        StringBuilder text = new StringBuilder("\n[classes.%s]\n".formatted(spec.name()));
        text.append("tier = %d\n".formatted(spec.tier()));
        text.append("whole-answer = \"%d ms\"\n".formatted(spec.wholeAnswerMillis()));
        text.append("objective = %s\n".formatted(spec.objective()));
        text.append("guaranteed-share = %s\n".formatted(spec.guaranteedShare()));
        text.append("max-queue-wait = \"%d ms\"\n".formatted(spec.maxQueueWaitMillis()));
        text.append("idempotent = %s\n".formatted(spec.idempotent()));
        text.append("backend-servers = %s\n".formatted(names(servers)));
        if (spec.chat()) {
            text.append("first-token = \"%d ms\"\n".formatted(spec.firstTokenMillis()));
            text.append("between-tokens = \"%d ms\"\n".formatted(spec.betweenTokensMillis()));
            text.append("models = [\"%s\"]\n".formatted(SiteSpec.MODEL));
        } else {
            text.append("service = \"%s\"\n".formatted(SiteSpec.SERVICE));
            text.append("methods = %s\n".formatted(array(spec.methods())));
        }
        return text.toString();
    }

    /**
     * Writes a model engine.
     *
     * @param engine the engine
     * @return the TOML text
     */
    private String engine(Member engine) {
        return server(engine, "model-engine")
                + "models = [\"%s\"]\n".formatted(SiteSpec.MODEL)
                + "warm-limit = %d\n".formatted(mSpec.warmLimit())
                + "cold-limit = %d\n".formatted(mSpec.coldLimit());
    }

    /**
     * Writes a ledger.
     *
     * @param ledger the ledger
     * @return the TOML text
     */
    private static String ledger(Member ledger) {
        return server(ledger, "plain-service")
                + "service = \"%s\"\n".formatted(SiteSpec.SERVICE)
                + "warm-limit = 64\ncold-limit = 8\n";
    }

    /**
     * Writes the settings that all backend servers have in common.
     *
     * @param server the server
     * @param kind the kind
     * @return the TOML text
     */
    private static String server(Member server, String kind) {
        return "\n[backend-servers.%s]\n".formatted(server.name())
                + "kind = \"%s\"\n".formatted(kind)
                + "address = \"http://%s\"\n".formatted(server.address())
                + "region = \"%s\"\n".formatted(SiteSpec.REGION)
                + "failure-domain = \"%s\"\n".formatted(server.failureDomain());
    }

    /**
     * Writes a client account that may use every class.
     *
     * @param name the name
     * @param key the key
     * @return the TOML text
     */
    private String account(String name, String key) {
        List<String> classes = mSpec.classes().stream().map(ClassSpec::name).toList();
        String defaultClass =
                mSpec.classes().stream()
                        .filter(ClassSpec::chat)
                        .map(spec -> "default-class = \"%s\"\n".formatted(spec.name()))
                        .findFirst()
                        .orElse("");
        return "\n[accounts.%s]\n".formatted(name)
                + "key-hashes = [\"%s\"]\n".formatted(sha256(key))
                + "classes = %s\n".formatted(array(classes))
                + defaultClass
                + "requests-per-second = %d.0\n".formatted(mSpec.requestsPerSecond())
                + "max-in-flight = 10000\n";
    }

    /**
     * Writes the names of members.
     *
     * @param members the members
     * @return the TOML text
     */
    private static String names(List<Member> members) {
        return array(members.stream().map(Member::name).toList());
    }

    /**
     * Writes an array of strings.
     *
     * @param values the strings
     * @return the TOML text
     */
    private static String array(List<String> values) {
        return values.stream()
                .map(value -> '"' + value + '"')
                .collect(Collectors.joining(", ", "[", "]"));
    }

    /**
     * Computes a digest.
     *
     * @param text the text
     * @return the SHA-256 digest in lower-case hexadecimal
     */
    private static String sha256(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Names a member of the site.
     *
     * @param name the name
     * @param failureDomain the failure domain
     * @param address the address
     */
    record Member(String name, String failureDomain, ListenAddress address) {}
}
