package org.magnoliaseam.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.VmId;

/** Tests the selection of peers. */
class FanOutTest {

    private static final int MAX_PEERS = 16;
    private static final FanOut FAN_OUT = new FanOut(MAX_PEERS);
    private static final double MAX_HOP_SECONDS = 0.4 * MAX_PEERS / 8;

    private static MemberList fleet(int members, int regions, int salt) {
        return new MemberList(
                1,
                IntStream.range(0, members)
                        .mapToObj(
                                i ->
                                        new Member(
                                                new VmId("entry-" + salt + "-" + i),
                                                new Region("region-" + i % regions),
                                                new FailureDomain("zone-" + i % 7),
                                                InetSocketAddress.createUnresolved("peer", 1),
                                                MemberState.LIVE))
                        .toList());
    }

    private static MemberList without(MemberList list, Predicate<Member> gone) {
        return new MemberList(
                list.version() + 1, list.members().stream().filter(gone.negate()).toList());
    }

    private static Map<VmId, Set<VmId>> graph(MemberList list) {
        Map<VmId, Set<VmId>> graph = new HashMap<>();
        for (Member member : list.members()) {
            graph.put(
                    member.vm(),
                    FAN_OUT.peers(list, member.vm()).stream()
                            .map(Member::vm)
                            .collect(Collectors.toSet()));
        }
        return graph;
    }

    private static Map<VmId, Integer> hops(Map<VmId, Set<VmId>> graph, VmId from) {
        Map<VmId, Integer> hops = new HashMap<>(Map.of(from, 0));
        Deque<VmId> next = new ArrayDeque<>(List.of(from));
        while (!next.isEmpty()) {
            VmId vm = next.poll();
            for (VmId peer : graph.get(vm)) {
                if (graph.containsKey(peer) && !hops.containsKey(peer)) {
                    hops.put(peer, hops.get(vm) + 1);
                    next.add(peer);
                }
            }
        }
        return hops;
    }

    private static Map<VmId, Set<VmId>> subgraph(Map<VmId, Set<VmId>> graph, Collection<VmId> vms) {
        Map<VmId, Set<VmId>> subgraph = new HashMap<>(graph);
        subgraph.keySet().retainAll(vms);
        return subgraph;
    }

    private static List<VmId> names(MemberList list, Predicate<Member> filter) {
        return list.members().stream().filter(filter).map(Member::vm).toList();
    }

    /** Tests properties of the graph for fleets of any size. */
    @Group
    class Properties {

        @Property(seed = "29", tries = 60)
        void graphIsSymmetricConnectedAndBounded(
                @ForAll @IntRange(min = 1, max = 400) int members,
                @ForAll @IntRange(min = 1, max = 5) int regions,
                @ForAll int salt) {
            Map<VmId, Set<VmId>> graph = graph(fleet(members, regions, Math.abs(salt % 1_000)));
            graph.forEach(
                    (vm, peers) -> {
                        assertThat(peers).hasSizeLessThanOrEqualTo(MAX_PEERS).doesNotContain(vm);
                        peers.forEach(peer -> assertThat(graph.get(peer)).contains(vm));
                    });
            assertThat(hops(graph, graph.keySet().iterator().next())).hasSize(members);
        }

        @Property(seed = "31", tries = 40)
        void leavingMemberChangesPeersOfFewOthers(
                @ForAll @IntRange(min = 14, max = 400) int members,
                @ForAll @IntRange(min = 1, max = 5) int regions,
                @ForAll @IntRange(max = 13) int leaving) {
            MemberList before = fleet(members, regions, 0);
            VmId gone = before.members().get(leaving).vm();
            Map<VmId, Set<VmId>> old = graph(before);
            Map<VmId, Set<VmId>> now = graph(without(before, member -> member.vm().equals(gone)));
            long changed =
                    now.keySet().stream()
                            .filter(vm -> !withoutPeer(old.get(vm), gone).equals(now.get(vm)))
                            .count();
            assertThat(changed).isLessThanOrEqualTo(MAX_PEERS);
        }

        private static Set<VmId> withoutPeer(Set<VmId> peers, VmId gone) {
            Set<VmId> remaining = new HashSet<>(peers);
            remaining.remove(gone);
            return remaining;
        }
    }

    /** Tests fleets of given sizes. */
    @Nested
    class Sizes {

        @Test
        void twelveMembersAreFullMesh() {
            graph(fleet(12, 3, 0)).values().forEach(peers -> assertThat(peers).hasSize(11));
        }

        @Test
        void unlistedVmHasNoPeers() {
            assertThat(FAN_OUT.peers(fleet(5, 1, 0), new VmId("other"))).isEmpty();
        }

        @Test
        void updateReachesAllMembersInFewHops() {
            Map<VmId, Set<VmId>> graph = graph(fleet(350, 3, 0));
            List<Integer> hops = new ArrayList<>();
            graph.keySet().forEach(vm -> hops.addAll(hops(graph, vm).values()));
            int maxHops = hops.stream().mapToInt(i -> i).max().orElseThrow();
            double mean = hops.stream().mapToInt(i -> i).average().orElseThrow();
            double degree = graph.values().stream().mapToInt(Set::size).average().orElseThrow();
            System.out.printf(
                    "350 members: mean degree %.1f, mean hops %.2f, most %d; mean "
                            + "seconds to the last member %.2f%n",
                    degree, mean, maxHops, meanPropagationSeconds(graph));
            assertThat(maxHops * MAX_HOP_SECONDS).isLessThanOrEqualTo(5);
        }

        @Test
        void isolatedRegionStaysConnected() {
            MemberList list = fleet(350, 3, 0);
            Region region = new Region("region-1");
            List<VmId> members = names(list, member -> member.region().equals(region));
            Map<VmId, Set<VmId>> regionGraph = subgraph(graph(list), members);
            Map<VmId, Integer> hops = hops(regionGraph, members.get(0));
            System.out.printf(
                    "region of %d cut off: most hops %d%n",
                    members.size(), hops.values().stream().mapToInt(i -> i).max().orElseThrow());
            assertThat(hops).hasSize(members.size());
        }

        @Test
        void fleetStaysConnectedWhileFailureDomainIsGoneButListed() {
            MemberList list = fleet(350, 3, 0);
            FailureDomain gone = new FailureDomain("zone-3");
            List<VmId> live = names(list, member -> !member.failureDomain().equals(gone));
            assertThat(hops(subgraph(graph(list), live), live.get(0))).hasSize(live.size());
        }

        /**
         * Returns the mean time in seconds, over 20 simulated runs, until an update reaches the
         * last member.
         */
        private static double meanPropagationSeconds(Map<VmId, Set<VmId>> graph) {
            Random random = new Random(17);
            List<VmId> vms = graph.keySet().stream().sorted().toList();
            return random.ints(20, 0, vms.size())
                    .mapToDouble(i -> secondsToAll(graph, vms.get(i), random))
                    .average()
                    .orElseThrow();
        }

        private static double secondsToAll(Map<VmId, Set<VmId>> graph, VmId from, Random random) {
            Map<VmId, Double> reached = new HashMap<>();
            PriorityQueue<Map.Entry<VmId, Double>> next =
                    new PriorityQueue<>(Map.Entry.comparingByValue());
            next.add(Map.entry(from, 0.0));
            double last = 0;
            while (!next.isEmpty()) {
                Map.Entry<VmId, Double> entry = next.poll();
                if (reached.putIfAbsent(entry.getKey(), entry.getValue()) == null) {
                    last = entry.getValue();
                    for (VmId peer : graph.get(entry.getKey())) {
                        double hopSeconds = random.nextDouble() * MAX_HOP_SECONDS;
                        next.add(Map.entry(peer, entry.getValue() + hopSeconds));
                    }
                }
            }
            return last;
        }
    }
}
