package org.magnoliaseam.testbed.harness;

import java.util.List;
import org.magnoliaseam.testbed.platform.PlatformCommand.ConfigurationValue;
import org.magnoliaseam.testbed.platform.PlatformStandIn.ModeChange;

/** Publishes the configuration and VM list of a site on the stand-in for the platform. */
public final class PlatformMember {

    /** The query that names the site. */
    private static final String SITE_QUERY = "?site=" + SiteSpec.SITE;

    /** The stand-in. */
    private final BackendMember mMember;

    /** The calls to the stand-in. */
    private final HttpCalls mCalls;

    /** The version of the last configuration. */
    private long mConfigurationVersion;

    /**
     * Wraps a stand-in.
     *
     * @param member the stand-in
     * @param calls the calls to the stand-in
     */
    PlatformMember(BackendMember member, HttpCalls calls) {
        mMember = member;
        mCalls = calls;
    }

    /**
     * Returns the stand-in.
     *
     * @return the stand-in
     */
    public BackendMember member() {
        return mMember;
    }

    /**
     * Publishes a configuration under the next version.
     *
     * @param base the text of the base file
     * @param overlay the text of the overlay
     * @return the version
     */
    public long publish(String base, String overlay) {
        mConfigurationVersion++;
        publish(mConfigurationVersion, base, overlay);
        return mConfigurationVersion;
    }

    /**
     * Publishes a configuration under a given version.
     *
     * @param version the version
     * @param base the text of the base file
     * @param overlay the text of the overlay
     */
    public void publish(long version, String base, String overlay) {
        mCalls.post(
                mMember.address(),
                "/test/configuration" + SITE_QUERY,
                new ConfigurationValue(version, base, overlay));
    }

    /**
     * Changes the mode for all readers.
     *
     * @param mode the name of the mode
     * @param lagMillis the lag of a lagging platform in milliseconds
     */
    public void mode(String mode, long lagMillis) {
        mCalls.post(mMember.address(), "/test/mode", new ModeChange(mode, lagMillis, null));
    }

    /**
     * Changes the mode for the readers behind one address.
     *
     * @param mode the name of the mode
     * @param lagMillis the lag of a lagging platform in milliseconds
     * @param address the address as readers name it
     */
    public void mode(String mode, long lagMillis, String address) {
        mCalls.post(mMember.address(), "/test/mode", new ModeChange(mode, lagMillis, address));
    }

    /**
     * Publishes the VM list for the readers behind one address.
     *
     * @param list the list
     * @param address the address as readers name it
     */
    void publishVms(VmList list, String address) {
        String path = "/test/vms" + SITE_QUERY + "&forAddress=" + address;
        mCalls.post(mMember.address(), path, list);
    }

    /**
     * Holds a VM list as served.
     *
     * @param version the version
     * @param vms the VMs
     */
    record VmList(long version, List<Vm> vms) {}

    /**
     * Holds one VM as served.
     *
     * @param vm the name
     * @param region the region
     * @param failureDomain the failure domain
     * @param peerAddress the address of the peer port
     * @param state live or leaving
     */
    record Vm(String vm, String region, String failureDomain, String peerAddress, String state) {}
}
