package org.magnoliaseam.testbed.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.magnoliaseam.testbed.harness.SettingsWriter.Member;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Runs a complete site of real processes in a temporary folder until it is closed. */
public final class TestSite implements AutoCloseable {

    /** The name of the links of all entry VMs to one backend server. */
    public static final String ALL_ENTRIES = "*";

    /** The name of the platform in links. */
    public static final String PLATFORM = "platform";

    /** The state of a VM that is not leaving. */
    private static final String LIVE = "live";

    /** The name of the file with the secret of the entry VMs. */
    private static final String SECRET_FILE = "peer-secret";

    /** The secret of the entry VMs. */
    private static final String SECRET = "0123456789abcdef0123456789abcdef0123456789abcdef";

    /** The description of the site. */
    private final SiteSpec mSpec;

    /** The folder with settings and output. */
    private final Path mFolder;

    /** The client. */
    private final CallerClient mClient = new CallerClient();

    /** The links between members. */
    private final SiteLinks mLinks;

    /** The platform. */
    private final PlatformMember mPlatform;

    /** The model engines. */
    private final List<BackendMember> mEngines = new ArrayList<>();

    /** The ledgers. */
    private final List<BackendMember> mLedgers = new ArrayList<>();

    /** The names and addresses of the members. */
    private final SiteLayout mLayout;

    /** The entry VMs. */
    private final List<EntryVm> mEntries = new ArrayList<>();

    /** The states of the entry VMs by name. */
    private final Map<String, String> mVmStates = new HashMap<>();

    /** The version of the last VM list. */
    private long mVmListVersion;

    /**
     * Starts the stand-ins of a site.
     *
     * @param spec the description of the site
     * @throws UncheckedIOException if the folder cannot be created
     */
    private TestSite(SiteSpec spec) {
        mSpec = spec;
        mLinks = new SiteLinks(spec.proxied());
        try {
            mFolder = Files.createTempDirectory("magnoliaseam-site");
            Files.writeString(mFolder.resolve(SECRET_FILE), SECRET);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mPlatform = new PlatformMember(standIn(PLATFORM, List.of()), mClient.calls());
        mLayout = new SiteLayout(spec, mLinks, mPlatform.member().address());
        for (int i = 0; i < spec.engines(); i++) {
            mEngines.add(standIn("engine-" + (i + 1), engineOptions(i)));
        }
        for (int i = 0; i < spec.ledgers(); i++) {
            List<String> options = new ArrayList<>(List.of("--name", "ledger-" + (i + 1)));
            options.addAll(spec.ledgerOptions());
            mLedgers.add(standIn("ledger-" + (i + 1), options));
        }
    }

    /**
     * Starts a site and waits until every process is ready.
     *
     * @param spec the description of the site
     * @return the site
     */
    public static TestSite start(SiteSpec spec) {
        TestSite site = startStandIns(spec);
        try {
            site.startEntries();
            return site;
        } catch (RuntimeException e) {
            site.close();
            throw e;
        }
    }

    /**
     * Starts a site without entry VMs and publishes its configuration and VM list.
     *
     * @param spec the description of the site
     * @return the site
     */
    public static TestSite startStandIns(SiteSpec spec) {
        TestSite site = new TestSite(spec);
        try {
            site.standIns().forEach(BackendMember::awaitReady);
            site.mPlatform.publish(site.base(), "");
            site.publishVms();
            return site;
        } catch (RuntimeException e) {
            site.close();
            throw e;
        }
    }

    /** Starts the entry VMs and waits until they are ready. */
    public void startEntries() {
        for (int i = 0; i < mSpec.entryVms(); i++) {
            EntryAddresses addresses = mLayout.entryAddresses(i);
            List<String> command = Programs.route(writeLocalSettings(i));
            mEntries.add(
                    new EntryVm(
                            SiteLayout.entryName(i), addresses, mFolder, command, mClient.calls()));
        }
        mEntries.forEach(EntryVm::awaitReady);
    }

    /**
     * Returns the client that calls the entry VMs.
     *
     * @return the client
     */
    public CallerClient client() {
        return mClient;
    }

    /**
     * Returns the folder with settings and output.
     *
     * @return the folder
     */
    public Path folder() {
        return mFolder;
    }

    /**
     * Returns the links between members.
     *
     * @return the links
     */
    public SiteLinks links() {
        return mLinks;
    }

    /**
     * Returns the platform.
     *
     * @return the platform
     */
    public PlatformMember platform() {
        return mPlatform;
    }

    /**
     * Returns a model engine.
     *
     * @param index the index, counted from 0
     * @return the engine
     */
    public BackendMember engine(int index) {
        return mEngines.get(index);
    }

    /**
     * Returns the model engines.
     *
     * @return the engines
     */
    public List<BackendMember> engines() {
        return List.copyOf(mEngines);
    }

    /**
     * Returns the ledgers.
     *
     * @return the ledgers
     */
    public List<BackendMember> ledgers() {
        return List.copyOf(mLedgers);
    }

    /**
     * Returns all stand-ins.
     *
     * @return the stand-ins
     */
    public List<BackendMember> standIns() {
        List<BackendMember> members = new ArrayList<>(List.of(mPlatform.member()));
        members.addAll(mEngines);
        members.addAll(mLedgers);
        return members;
    }

    /**
     * Returns an entry VM.
     *
     * @param index the index, counted from 0
     * @return the entry VM
     */
    public EntryVm entry(int index) {
        return mEntries.get(index);
    }

    /**
     * Returns the entry VMs.
     *
     * @return the entry VMs
     */
    public List<EntryVm> entries() {
        return List.copyOf(mEntries);
    }

    /**
     * Returns the text of the base file of the site.
     *
     * @return the TOML text
     */
    public String base() {
        return new SettingsWriter(mSpec)
                .base(mLayout.backendServers(mEngines), mLayout.backendServers(mLedgers));
    }

    /**
     * Publishes the base file with an overlay under the next version.
     *
     * @param overlay the text of the overlay
     * @return the version
     */
    public long publishOverlay(String overlay) {
        return mPlatform.publish(base(), overlay);
    }

    /**
     * Changes the state of an entry VM in the VM list.
     *
     * @param index the index of the VM, counted from 0
     * @param state live or leaving
     */
    public void setVmState(int index, String state) {
        mVmStates.put(SiteLayout.entryName(index), state);
        publishVms();
    }

    @Override
    public void close() {
        mEntries.forEach(entry -> entry.process().send(Signal.CONT));
        mEntries.forEach(entry -> entry.process().send(Signal.TERM));
        mEntries.parallelStream().forEach(EntryVm::close);
        standIns().forEach(member -> member.process().send(Signal.TERM));
        standIns().parallelStream().forEach(BackendMember::close);
        mLinks.close();
        mClient.close();
        deleteFolder();
    }

    /**
     * Starts a stand-in. Its command is the name without the number.
     *
     * @param name the name of the member
     * @param options the options other than the address
     * @return the member
     */
    private BackendMember standIn(String name, List<String> options) {
        ListenAddress address = Ports.free();
        String command = name.replaceFirst("-\\d+$", "");
        List<String> arguments = new ArrayList<>(List.of(command, "--listen", address.toString()));
        arguments.addAll(options);
        return new BackendMember(
                name, address, mFolder, Programs.standIn(arguments), mClient.calls());
    }

    /**
     * Returns the options of an engine.
     *
     * @param index the index, counted from 0
     * @return the options
     */
    private List<String> engineOptions(int index) {
        List<String> options =
                new ArrayList<>(
                        List.of(
                                "--model", SiteSpec.MODEL,
                                "--slots", Integer.toString(mSpec.warmLimit()),
                                "--cold-limit", Integer.toString(mSpec.coldLimit()),
                                "--seed", Integer.toString(index + 1)));
        options.addAll(mSpec.engineOptions());
        return options;
    }

    /**
     * Writes the settings file of an entry VM.
     *
     * @param index the index, counted from 0
     * @return the file
     */
    private Path writeLocalSettings(int index) {
        String text =
                new SettingsWriter(mSpec)
                        .local(
                                mLayout.entry(index),
                                mLayout.entryAddresses(index),
                                mLayout.platformAddress(index),
                                mFolder.resolve(SECRET_FILE).toString(),
                                mLayout.peersOf(index));
        try {
            return Files.writeString(mFolder.resolve(SiteLayout.entryName(index) + ".toml"), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Publishes the VM list for each entry VM, with the addresses that it uses for its peers. */
    private void publishVms() {
        mVmListVersion++;
        for (int i = 0; i < mSpec.entryVms(); i++) {
            List<Member> members = new ArrayList<>(mLayout.peersOf(i));
            members.add(i, mLayout.entry(i));
            List<PlatformMember.Vm> vms =
                    members.stream()
                            .map(
                                    member ->
                                            new PlatformMember.Vm(
                                                    member.name(),
                                                    SiteSpec.REGION,
                                                    member.failureDomain(),
                                                    member.address().toString(),
                                                    mVmStates.getOrDefault(member.name(), LIVE)))
                            .toList();
            mPlatform.publishVms(
                    new PlatformMember.VmList(mVmListVersion, vms),
                    mLayout.platformAddress(i).toString());
        }
    }

    /** Deletes the folder. */
    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
