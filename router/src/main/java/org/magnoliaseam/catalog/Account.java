package org.magnoliaseam.catalog;

import java.util.OptionalInt;
import org.magnoliaseam.model.ClientAccountId;

/**
 * Describes a client account.
 *
 * @param id the account
 * @param priority its rank, 0 first, which goes before the rank of a route; empty if it has none
 */
public record Account(ClientAccountId id, OptionalInt priority) {}
