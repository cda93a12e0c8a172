package org.magnoliaseam.catalog;

import java.util.OptionalInt;
import org.magnoliaseam.model.ClientAccountId;

/**
 * Describes a client account.
 *
 * @param id the id of the account
 * @param priority its priority, 0 for the highest, which takes precedence over the priority of a
 *     route; empty if it has none
 */
public record Account(ClientAccountId id, OptionalInt priority) {}
