package org.magnoliaseam.settings.schema;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.PeerAddress;
import org.magnoliaseam.settings.toml.SourceLocation;
import org.magnoliaseam.settings.toml.TomlNode;

/** Reads one entry of the list of peers. */
public final class PeerType implements ValueType<PeerAddress> {

    /** The VM of the peer. */
    public static final KeySpec<VmId> VM =
            KeySpec.required(
                    "vm", ValueTypes.name(VmId::new), Scope.LOCAL, new VmId(Placeholders.NAME));

    /** The address of the peer port. */
    public static final KeySpec<InetSocketAddress> ADDRESS =
            KeySpec.required(
                    "address", ValueTypes.SOCKET_ADDRESS, Scope.LOCAL, Placeholders.SOCKET_ADDRESS);

    /** The keys of a peer. */
    public static final TableSpec TABLE =
            new TableSpec("peers", TableSpec.Shape.PLAIN, List.of(VM, ADDRESS));

    @Override
    public Result<PeerAddress, List<ValueFault>> parse(TomlNode node) {
        if (!(node instanceof TomlNode.Section section)) {
            return ValueType.mismatch(node, "a table with vm and address");
        }
        Set<Fault> faults = new LinkedHashSet<>(SchemaCheck.checkKeys(section, "", TABLE));
        SectionReader reader = new SectionReader(section, "", faults::add);
        PeerAddress peer = new PeerAddress(reader.read(VM), reader.read(ADDRESS));
        if (faults.isEmpty()) {
            return Result.ok(peer);
        }
        List<ValueFault> converted = new ArrayList<>();
        faults.forEach(fault -> converted.add(valueFault(fault)));
        return Result.err(converted);
    }

    /**
     * Converts a fault of a key below the peer.
     *
     * @param fault the fault
     * @return the fault, with the key at the start of its reason
     */
    private static ValueFault valueFault(Fault fault) {
        SourceLocation location = new SourceLocation(fault.file(), fault.line());
        return new ValueFault(location, fault.key() + " " + fault.reason());
    }
}
