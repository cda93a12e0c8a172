package org.magnoliaseam.publication;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.magnoliaseam.fleet.Member;
import org.magnoliaseam.fleet.MemberList;
import org.magnoliaseam.fleet.MemberState;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.Region;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.ConfigurationText;

/** Parses the values that the platform publishes. */
public final class PlatformJson {

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances of this utility class. */
    private PlatformJson() {}

    /**
     * Parses a published configuration.
     *
     * @param body the JSON text
     * @return the configuration text with its version; empty if malformed
     */
    public static Optional<ConfigurationText> configuration(String body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            if (!root.path("version").canConvertToLong() || !root.path("base").isTextual()) {
                return Optional.empty();
            }
            return Optional.of(
                    new ConfigurationText(
                            root.path("version").asLong(),
                            root.path("base").asText(),
                            root.path("overlay").asText("")));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses a published list of VMs.
     *
     * @param body the JSON text
     * @return the list; empty if malformed
     */
    public static Optional<MemberList> members(String body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            if (!root.path("version").canConvertToLong() || !root.path("vms").isArray()) {
                return Optional.empty();
            }
            List<Member> members = new ArrayList<>();
            for (JsonNode vm : root.path("vms")) {
                members.add(member(vm));
            }
            members.sort(Comparator.comparing(Member::vm));
            return Optional.of(new MemberList(root.path("version").asLong(), List.copyOf(members)));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses one entry of the list of VMs.
     *
     * @param vm the JSON object
     * @return the member
     */
    private static Member member(JsonNode vm) {
        String address = vm.path("peerAddress").asText();
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("peerAddress has no port");
        }
        InetSocketAddress peerAddress =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        return new Member(
                new VmId(vm.path("vm").asText()),
                new Region(vm.path("region").asText()),
                new FailureDomain(vm.path("failureDomain").asText()),
                peerAddress,
                "leaving".equals(vm.path("state").asText())
                        ? MemberState.LEAVING
                        : MemberState.LIVE);
    }
}
