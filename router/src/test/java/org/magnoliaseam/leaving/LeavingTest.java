package org.magnoliaseam.leaving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliaseam.FleetFixtures.DOMAIN;
import static org.magnoliaseam.FleetFixtures.member;
import static org.magnoliaseam.FleetFixtures.server;
import static org.magnoliaseam.FleetFixtures.summary;
import static org.magnoliaseam.FleetFixtures.vm;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.LoadReport;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.OutOfService;

/** Tests each reason to stop new work, and the order of the phases of a shutdown. */
class LeavingTest {

    private static final VmId VM = vm(1);
    private static final OutOfService NONE_OUT = new OutOfService(Set.of(), Set.of(), Set.of());
    private static final OutOfService DOMAIN_OUT =
            new OutOfService(Set.of(DOMAIN), Set.of(), Set.of());
    private static final BackendServer SERVER = server(8, 1);

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Tests backend servers. */
    @Nested
    class Backend {
        private final BackendServiceState mState = new BackendServiceState();

        private boolean inService(OutOfService outOfService, long nowMillis) {
            return mState.decide(SERVER, outOfService, millis(nowMillis)).inService();
        }

        private void report(String run, boolean leaving, long nowMillis) {
            mState.report(new LoadReport(new StartId(run), 0, 0, leaving, millis(nowMillis)));
        }

        @Test
        void stopsWhenItOrItsFailureDomainIsOutOfService() {
            assertThat(inService(NONE_OUT, 0)).isTrue();
            assertThat(inService(DOMAIN_OUT, 0)).isFalse();
            assertThat(inService(new OutOfService(Set.of(), Set.of(), Set.of(SERVER.id())), 0))
                    .isFalse();
        }

        @Test
        void stopsWhenItReportsShutdownDespiteALateReportOfTheSameRun() {
            report("run-1", true, 0);
            report("run-1", false, 1000);
            assertThat(inService(NONE_OUT, 1000)).isFalse();
            report("run-2", false, 1100);
            assertThat(inService(NONE_OUT, 1100)).isTrue();
        }

        @Test
        void returnsToServiceWhenTheSameRunNoLongerReportsShutdown() {
            report("run-1", true, 0);
            report("run-1", false, BackendServiceState.LEAVING_HOLD_MILLIS + 1);
            assertThat(inService(NONE_OUT, BackendServiceState.LEAVING_HOLD_MILLIS + 1)).isTrue();
        }

        @Test
        void refusedConnectionsIncreaseTheWaitAndAnAnswerResetsIt() {
            mState.connectionRefused(0);
            assertThat(inService(NONE_OUT, BackendServiceState.REFUSED_HOLD_MILLIS - 1)).isFalse();
            assertThat(inService(NONE_OUT, BackendServiceState.REFUSED_HOLD_MILLIS)).isTrue();
            mState.connectionRefused(0);
            assertThat(inService(NONE_OUT, BackendServiceState.REFUSED_HOLD_MILLIS)).isFalse();
            mState.answered();
            assertThat(inService(NONE_OUT, 0)).isTrue();
        }
    }

    /** Tests entry VMs. */
    @Nested
    class EntryVm {
        @Test
        void stopsForEachReason() {
            Member live = member(1, MemberState.LIVE);
            OutOfService vmOut = new OutOfService(Set.of(), Set.of(VM), Set.of());
            assertThat(EntryVmService.decide(live, NONE_OUT).inService()).isTrue();
            assertThat(EntryVmService.decide(live, DOMAIN_OUT).inService()).isFalse();
            assertThat(EntryVmService.decide(live, vmOut).inService()).isFalse();
            assertThat(EntryVmService.decide(member(1, MemberState.LEAVING), NONE_OUT).inService())
                    .isFalse();
        }

        @Test
        void peerStopsWhenItsHeartbeatReportsShutdownOrNotReady() {
            Member live = member(1, MemberState.LIVE);
            assertThat(EntryVmService.decide(live, NONE_OUT, summary(1, true, false)).inService())
                    .isTrue();
            assertThat(EntryVmService.decide(live, NONE_OUT, summary(1, true, true)).inService())
                    .isFalse();
            assertThat(EntryVmService.decide(live, NONE_OUT, summary(1, false, false)).inService())
                    .isFalse();
        }
    }

    /** Tests the order of the phases of a shutdown. */
    @Nested
    class Shutdown {
        private final ShutdownSequence mSequence = new ShutdownSequence(Duration.ofSeconds(5));

        @Test
        void waitsForBalancerTicketsAndStreamsInThisOrder() {
            assertThat(mSequence.advance(true, 0, 0)).isEqualTo(ShutdownPhase.SERVING);
            mSequence.begin(0);
            assertThat(mSequence.advance(true, 0, millis(4999)))
                    .isEqualTo(ShutdownPhase.BALANCER_GRACE);
            assertThat(mSequence.phase().takesNewWork()).isTrue();
            assertThat(mSequence.phase().issuesTickets()).isFalse();
            mSequence.begin(millis(4999));
            assertThat(mSequence.advance(false, 0, millis(5000)))
                    .isEqualTo(ShutdownPhase.TICKETS_EXPIRE);
            assertThat(mSequence.phase().takesNewWork()).isFalse();
            assertThat(mSequence.advance(true, 1, millis(600_000)))
                    .isEqualTo(ShutdownPhase.STREAMS_END);
            assertThat(mSequence.advance(true, 0, millis(600_000))).isEqualTo(ShutdownPhase.EXIT);
        }
    }
}
