package org.magnoliaseam.testbed.harness;

import java.util.ArrayList;
import java.util.List;

/** Describes a test site; every part has a default. */
public final class SiteSpec {

    /** The name of the site. */
    public static final String SITE = "testsite";

    /** The region of all members of the site. */
    public static final String REGION = "testregion";

    /** The model that the engines serve. */
    public static final String MODEL = "assistant";

    /** The name of the plain service. */
    public static final String SERVICE = "ledger";

    /** The keys of the client accounts; account N has key N. */
    public static final List<String> KEYS = List.of("sample-key-one", "sample-key-two");

    /** The number of entry VMs. */
    private int mEntryVms = 2;

    /** The number of model engines. */
    private int mEngines = 2;

    /** The number of ledgers. */
    private int mLedgers = 1;

    /** The number of failure domains. */
    private int mFailureDomains = 3;

    /** The number of concurrent requests of a warm engine. */
    private int mWarmLimit = 8;

    /** The number of concurrent requests of a cold engine. */
    private int mColdLimit = 2;

    /** Whether the links of the site pass through fault proxies. */
    private boolean mProxied;

    /** The name of the dispatch policy, which queues requests and selects servers. */
    private String mDispatchPolicy = "tiered";

    /** The time for which an unready entry VM still accepts requests. */
    private String mBalancerGrace = "500 ms";

    /** The request rate of each account at one entry VM. */
    private int mRequestsPerSecond = 1000;

    /** The longest expected lag of the VM list, after which an entry VM becomes ready. */
    private String mVmListLag = "1 s";

    /** The request classes. */
    private List<ClassSpec> mClasses = ClassSpec.DEFAULTS;

    /** The lines of the section on routing. */
    private final List<String> mRouting = new ArrayList<>();

    /** The additional options of every engine. */
    private final List<String> mEngineOptions = new ArrayList<>();

    /** The additional options of every ledger. */
    private final List<String> mLedgerOptions = new ArrayList<>();

    /**
     * Sets the number of entry VMs.
     *
     * @param count the number
     * @return this description
     */
    public SiteSpec withEntryVms(int count) {
        mEntryVms = count;
        return this;
    }

    /**
     * Sets the number of model engines.
     *
     * @param count the number
     * @return this description
     */
    public SiteSpec withEngines(int count) {
        mEngines = count;
        return this;
    }

    /**
     * Sets the number of ledgers.
     *
     * @param count the number
     * @return this description
     */
    public SiteSpec withLedgers(int count) {
        mLedgers = count;
        return this;
    }

    /**
     * Sets the number of failure domains, to which members are assigned in turn.
     *
     * @param count the number
     * @return this description
     */
    public SiteSpec withFailureDomains(int count) {
        mFailureDomains = count;
        return this;
    }

    /**
     * Sets the limits of every engine.
     *
     * @param warm the number of concurrent requests of a warm engine, which is also its number of
     *     slots
     * @param cold the number of concurrent requests of a cold engine
     * @return this description
     */
    public SiteSpec withLimits(int warm, int cold) {
        mWarmLimit = warm;
        mColdLimit = cold;
        return this;
    }

    /**
     * Makes the links of the site pass through fault proxies.
     *
     * @return this description
     */
    public SiteSpec withProxies() {
        mProxied = true;
        return this;
    }

    /**
     * Sets the dispatch policy, which queues requests and selects servers.
     *
     * @param policy the name of the policy
     * @return this description
     */
    public SiteSpec withDispatchPolicy(String policy) {
        mDispatchPolicy = policy;
        return this;
    }

    /**
     * Sets the time for which an unready entry VM still accepts requests.
     *
     * @param duration the duration in the format of the settings
     * @return this description
     */
    public SiteSpec withBalancerGrace(String duration) {
        mBalancerGrace = duration;
        return this;
    }

    /**
     * Sets the request rate of each account at one entry VM.
     *
     * @param rate the requests per second
     * @return this description
     */
    public SiteSpec withRequestsPerSecond(int rate) {
        mRequestsPerSecond = rate;
        return this;
    }

    /**
     * Sets the longest expected lag of the VM list.
     *
     * @param duration the duration in the format of the settings
     * @return this description
     */
    public SiteSpec withVmListLag(String duration) {
        mVmListLag = duration;
        return this;
    }

    /**
     * Sets the request classes.
     *
     * @param classes the classes
     * @return this description
     */
    public SiteSpec withClasses(List<ClassSpec> classes) {
        mClasses = classes;
        return this;
    }

    /**
     * Adds a line to the section on routing, which must not set the lag of the VM list.
     *
     * @param line the TOML line
     * @return this description
     */
    public SiteSpec withRouting(String line) {
        mRouting.add(line);
        return this;
    }

    /**
     * Adds options to every engine.
     *
     * @param options the options
     * @return this description
     */
    public SiteSpec withEngineOptions(String... options) {
        mEngineOptions.addAll(List.of(options));
        return this;
    }

    /**
     * Adds options to every ledger.
     *
     * @param options the options
     * @return this description
     */
    public SiteSpec withLedgerOptions(String... options) {
        mLedgerOptions.addAll(List.of(options));
        return this;
    }

    /**
     * Returns the number of entry VMs.
     *
     * @return the number
     */
    int entryVms() {
        return mEntryVms;
    }

    /**
     * Returns the number of model engines.
     *
     * @return the number
     */
    int engines() {
        return mEngines;
    }

    /**
     * Returns the number of ledgers.
     *
     * @return the number
     */
    int ledgers() {
        return mLedgers;
    }

    /**
     * Returns the failure domain of the member with an index.
     *
     * @param index the index
     * @return the name
     */
    String failureDomain(int index) {
        return "domain-" + (index % mFailureDomains + 1);
    }

    /**
     * Returns the number of concurrent requests of a warm engine.
     *
     * @return the number
     */
    int warmLimit() {
        return mWarmLimit;
    }

    /**
     * Returns the number of concurrent requests of a cold engine.
     *
     * @return the number
     */
    int coldLimit() {
        return mColdLimit;
    }

    /**
     * Tells whether the links of the site pass through fault proxies.
     *
     * @return whether they do
     */
    boolean proxied() {
        return mProxied;
    }

    /**
     * Returns the dispatch policy.
     *
     * @return the name of the policy
     */
    String dispatchPolicy() {
        return mDispatchPolicy;
    }

    /**
     * Returns the time for which an unready entry VM still accepts requests.
     *
     * @return the duration in the format of the settings
     */
    String balancerGrace() {
        return mBalancerGrace;
    }

    /**
     * Returns the request rate of each account at one entry VM.
     *
     * @return the requests per second
     */
    int requestsPerSecond() {
        return mRequestsPerSecond;
    }

    /**
     * Returns the request classes.
     *
     * @return the classes
     */
    List<ClassSpec> classes() {
        return mClasses;
    }

    /**
     * Returns the lines of the section on routing.
     *
     * @return the lines
     */
    List<String> routing() {
        List<String> lines = new ArrayList<>(mRouting);
        lines.add("vm-list-lag = \"%s\"".formatted(mVmListLag));
        return lines;
    }

    /**
     * Returns the additional options of every engine.
     *
     * @return the options
     */
    List<String> engineOptions() {
        return mEngineOptions;
    }

    /**
     * Returns the additional options of every ledger.
     *
     * @return the options
     */
    List<String> ledgerOptions() {
        return mLedgerOptions;
    }
}
