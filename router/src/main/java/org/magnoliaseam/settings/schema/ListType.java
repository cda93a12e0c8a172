package org.magnoliaseam.settings.schema;

import java.util.ArrayList;
import java.util.List;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.settings.toml.TomlNode;

/**
 * Reads an array of distinct items of one type.
 *
 * @param <T> the type of the items
 */
public final class ListType<T> implements ValueType<List<T>> {

    /** The reason for an item that is listed twice. */
    public static final String REPEATED = "lists the same item twice";

    /** The type of the items. */
    private final ValueType<T> mItemType;

    /**
     * Creates a type.
     *
     * @param itemType the type of the items
     */
    public ListType(ValueType<T> itemType) {
        mItemType = itemType;
    }

    @Override
    public Result<List<T>, List<ValueFault>> parse(TomlNode node) {
        if (!(node instanceof TomlNode.Sequence sequence)) {
            return ValueType.mismatch(node, "an array");
        }
        List<T> values = new ArrayList<>();
        List<ValueFault> faults = new ArrayList<>();
        for (TomlNode item : sequence.items()) {
            Result<T, List<ValueFault>> result = mItemType.parse(item);
            if (result instanceof Result.Ok<T, List<ValueFault>> ok) {
                if (values.contains(ok.value())) {
                    faults.add(new ValueFault(item.location(), REPEATED));
                }
                values.add(ok.value());
            } else if (result instanceof Result.Err<T, List<ValueFault>> err) {
                faults.addAll(err.error());
            }
        }
        return faults.isEmpty() ? Result.ok(List.copyOf(values)) : Result.err(faults);
    }
}
