package org.magnoliaseam.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the cold limit with a simulated fleet under faults. */
class ColdStartModelTest {

    private static final long FAULTS_MILLIS = 180_000;
    private static final long RECOVERY_MILLIS = 60_000;

    /**
     * Checks that two entry VMs never hold the right at once, that all entry VMs together never
     * exceed the cold limit of a server that no VM has found warm, and that the server becomes warm
     * within a minute after the faults have ended.
     *
     * @param seed the seed of the schedule
     */
    @Property(seed = "20261204", tries = 60)
    void allEntryVmsTogetherKeepTheColdLimit(@ForAll long seed) {
        ColdFleetModel model = new ColdFleetModel(seed);
        model.run(FAULTS_MILLIS);
        assertThat(model.maxRunningCold()).isBetween(1, ColdFleetModel.COLD_LIMIT);
        assertThat(model.maxHolders()).isEqualTo(1);
        model.endFaults();
        model.run(RECOVERY_MILLIS);
        assertThat(model.maxRunningCold()).isLessThanOrEqualTo(ColdFleetModel.COLD_LIMIT);
        assertThat(model.provedWarm()).isTrue();
    }
}
