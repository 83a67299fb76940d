package org.chestnutloom.route

/**
 * The properties of a call that determine its target.
 *
 * @property promptTokens estimated tokens of the prompt; 0 for tool calls
 * @property failureDomain the failure domain of the gateway that sends the call
 */
public data class RouteQuery(
    public val promptTokens: Long,
    public val failureDomain: String,
)
