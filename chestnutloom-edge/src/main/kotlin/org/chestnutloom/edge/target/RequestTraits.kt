package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart
import org.chestnutloom.edge.call.RoutedCall
import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.id.ClientAccountId

/**
 * The properties of a request on which its cost depends.
 *
 * @property isModelCall whether an engine generates the response
 * @property maxOutputTokens the maximum number of tokens that the request generates, or 0 if it generates none
 * @property outputTokensHint the caller's estimate of the number of output tokens, or null without one
 */
internal data class RequestTraits(
    val service: String,
    val route: String,
    val account: ClientAccountId?,
    val isModelCall: Boolean,
    val prompt: List<PromptPart>,
    val maxOutputTokens: Long,
    val outputTokensHint: Long?,
) {
    /** The length of the prompt. */
    val promptTokens: Long
        get() = prompt.sumOf { it.tokens.toLong() }
}

/** Returns the traits of a request with [required]. */
internal fun traitsOf(required: TargetRequirements): RequestTraits =
    RequestTraits(
        service = required.service,
        route = required.route,
        account = required.account,
        isModelCall = required.isModelCall,
        prompt = required.prompt,
        maxOutputTokens = required.maxOutputTokens,
        outputTokensHint = required.outputTokensHint,
    )

/** Returns the traits of [call]. */
internal fun traitsOf(call: RoutedCall): RequestTraits =
    RequestTraits(
        service = call.service.name,
        route = call.route.name,
        account = call.account?.id,
        isModelCall = call.route.kind == RouteKind.STREAMING,
        prompt = call.head.prompt,
        maxOutputTokens = call.head.maxOutputTokens,
        outputTokensHint = call.head.outputTokensHint,
    )
