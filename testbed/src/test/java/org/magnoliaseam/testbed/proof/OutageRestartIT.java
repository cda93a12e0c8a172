package org.magnoliaseam.testbed.proof;

import org.junit.jupiter.api.Test;
import org.magnoliaseam.testbed.harness.EntryVm;
import org.magnoliaseam.testbed.harness.SiteSpec;
import org.magnoliaseam.testbed.harness.TestSite;

/** Tests that an entry VM that is replaced while the platform is down becomes ready. */
class OutageRestartIT {

    @Test
    void replacedVmIsReadyWhileThePlatformIsDown() {
        try (TestSite site = TestSite.start(new SiteSpec().withEngines(1))) {
            site.platform().mode("down", 0);
            EntryVm replaced = site.entry(1);
            replaced.process().kill();
            replaced.start();
            replaced.awaitReady();
        }
    }
}
