package org.magnoliaseam.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.fleet.ClassFreeSlots;
import org.magnoliaseam.fleet.PeerSummary;
import org.magnoliaseam.fleet.SuspectNotice;
import org.magnoliaseam.fleet.TierLoad;
import org.magnoliaseam.fleet.WarmServer;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.StartId;
import org.magnoliaseam.model.Tier;

/** Creates messages for the tests of this package. */
final class Fixtures {

    static final byte[] SECRET = "a secret of the site".getBytes(StandardCharsets.UTF_8);

    private Fixtures() {}

    static PeerSummary summary(PeerIdentity from, long sequence, int warm, int suspects) {
        return new PeerSummary(
                from.vm(),
                from.incarnation(),
                sequence,
                41,
                17,
                true,
                false,
                IntStream.rangeClosed(1, Tier.LOWEST_RANK)
                        .mapToObj(rank -> new TierLoad(new Tier(rank), 12, 2_500, 30))
                        .toList(),
                IntStream.range(0, 6)
                        .mapToObj(
                                i ->
                                        new ClassFreeSlots(
                                                new RequestClassId("learner-question-" + i)
                                                        .shortKey(),
                                                14))
                        .toList(),
                IntStream.range(0, warm)
                        .mapToObj(
                                i ->
                                        new WarmServer(
                                                new BackendServerId("engine-erongo-" + i),
                                                new StartId("5f1c9a7e3b20d48" + i)))
                        .toList(),
                IntStream.range(0, suspects)
                        .mapToObj(
                                i -> new SuspectNotice("0123456789abcdef0123456789abcde" + i, 1, 9))
                        .toList(),
                1_200_000,
                3_400);
    }

    static ForwardedRequest request(PeerIdentity from, String id, byte[] body) {
        return new ForwardedRequest(
                new RequestId(id),
                ForwardPurpose.TICKET_HOME,
                from.vm(),
                new ClientAccountId("school"),
                new RequestClassId("enrolment"),
                "ticket",
                "POST",
                "/services/enrolment/seats?course=7",
                List.of(new Header("Content-Type", "application/json")),
                body,
                35);
    }
}
