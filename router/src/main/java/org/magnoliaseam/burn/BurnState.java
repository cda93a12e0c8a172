package org.magnoliaseam.burn;

import java.util.List;

/** Lists the levels of urgency of the burn of a class. */
public enum BurnState {
    /** No pair of windows is above its threshold. */
    OK("ok"),
    /** The error budget is used up within days. */
    SLOW_BURN("slow burn"),
    /** The error budget is used up within hours. */
    FAST_BURN("fast burn");

    /** The burn rate over five minutes and one hour above which a class burns fast. */
    public static final double FAST_RATE = 14.4;

    /** The burn rate over one and six hours above which a class burns slowly. */
    public static final double SLOW_RATE = 6;

    /** The spelling in reports. */
    private final String mText;

    /**
     * Creates a state.
     *
     * @param text the spelling in reports
     */
    BurnState(String text) {
        mText = text;
    }

    /**
     * Evaluates burn rates. Both windows of a pair must be above the threshold: the long one shows
     * that the burn is significant, the short one that it continues.
     *
     * @param rates the burn rates in the order of {@link BurnWindow}
     * @return the state
     */
    static BurnState of(List<Double> rates) {
        double hour = rates.get(BurnWindow.ONE_HOUR.ordinal());
        if (rates.get(BurnWindow.FIVE_MINUTES.ordinal()) > FAST_RATE && hour > FAST_RATE) {
            return FAST_BURN;
        }
        boolean slow = hour > SLOW_RATE && rates.get(BurnWindow.SIX_HOURS.ordinal()) > SLOW_RATE;
        return slow ? SLOW_BURN : OK;
    }

    /**
     * Returns the spelling in reports.
     *
     * @return the text
     */
    public String text() {
        return mText;
    }
}
