package org.magnoliaseam.fleet;

import java.util.List;

/**
 * Holds one version of the list of entry VMs.
 *
 * @param version the version that the platform published; higher is newer
 * @param members the entry VMs, ordered by name
 */
public record MemberList(long version, List<Member> members) {}
