package org.magnoliaseam.testbed.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.magnoliaseam.testbed.harness.SettingsWriter.Member;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Assigns the names of the members of a site and the addresses by which they reach each other. */
final class SiteLayout {

    /** The description of the site. */
    private final SiteSpec mSpec;

    /** The links between members. */
    private final SiteLinks mLinks;

    /** The address of the platform. */
    private final ListenAddress mPlatform;

    /** The ports of the entry VMs. */
    private final List<EntryAddresses> mEntries;

    /**
     * Creates the layout and allocates the ports of the entry VMs.
     *
     * @param spec the description of the site
     * @param links the links between members
     * @param platform the address of the platform
     */
    SiteLayout(SiteSpec spec, SiteLinks links, ListenAddress platform) {
        mSpec = spec;
        mLinks = links;
        mPlatform = platform;
        mEntries =
                IntStream.range(0, spec.entryVms()).mapToObj(i -> EntryAddresses.free()).toList();
    }

    /**
     * Returns the name of an entry VM.
     *
     * @param index the index, counted from 0
     * @return the name
     */
    static String entryName(int index) {
        return "entry-" + (index + 1);
    }

    /**
     * Returns the ports of an entry VM.
     *
     * @param index the index, counted from 0
     * @return the ports
     */
    EntryAddresses entryAddresses(int index) {
        return mEntries.get(index);
    }

    /**
     * Returns the address by which an entry VM reaches the platform.
     *
     * @param index the index, counted from 0
     * @return the address
     */
    ListenAddress platformAddress(int index) {
        return mLinks.route(entryName(index), TestSite.PLATFORM, mPlatform);
    }

    /**
     * Describes an entry VM by the address that it listens on.
     *
     * @param index the index, counted from 0
     * @return the member
     */
    Member entry(int index) {
        return entry(index, mEntries.get(index).peers());
    }

    /**
     * Returns the peers of an entry VM with the addresses that it uses for them.
     *
     * @param index the index of the entry VM that connects
     * @return the peers in order
     */
    List<Member> peersOf(int index) {
        List<Member> peers = new ArrayList<>();
        for (int i = 0; i < mEntries.size(); i++) {
            if (i != index) {
                ListenAddress target = mEntries.get(i).peers();
                peers.add(entry(i, mLinks.route(entryName(index), entryName(i), target)));
            }
        }
        return peers;
    }

    /**
     * Returns backend servers with the addresses that entry VMs use.
     *
     * @param servers the servers
     * @return the members in order
     */
    List<Member> backendServers(List<BackendMember> servers) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            BackendMember server = servers.get(i);
            ListenAddress address =
                    mLinks.route(TestSite.ALL_ENTRIES, server.name(), server.address());
            members.add(new Member(server.name(), mSpec.failureDomain(i), address));
        }
        return members;
    }

    /**
     * Describes an entry VM.
     *
     * @param index the index, counted from 0
     * @param address the address of its peer port
     * @return the member
     */
    private Member entry(int index, ListenAddress address) {
        return new Member(entryName(index), mSpec.failureDomain(index), address);
    }
}
