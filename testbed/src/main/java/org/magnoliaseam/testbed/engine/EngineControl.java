package org.magnoliaseam.testbed.engine;

/**
 * Requests changes of an engine; null components leave a property unchanged.
 *
 * @param leaving whether the engine takes no new requests
 * @param slowFactor the factor on all times
 * @param cold true makes the engine cold again, with a new start identifier
 * @param keepConnections whether connections survive when the engine turns cold
 * @param reportLagMillis the lag of load reports in milliseconds
 * @param crossNext the number of next answers that carry the identifier of another request
 */
public record EngineControl(
        Boolean leaving,
        Double slowFactor,
        Boolean cold,
        Boolean keepConnections,
        Long reportLagMillis,
        Integer crossNext) {}
