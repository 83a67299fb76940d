package org.chestnutloom.call

import kotlinx.serialization.Serializable

/**
 * Why a request was refused or failed.
 *
 * @property wireName the stable code that callers see
 * @property httpStatus the status of the HTTP answer
 */
@Serializable
public enum class RefusalCode(
    public val wireName: String,
    public val httpStatus: Int,
) {
    /** The request is not well-formed. */
    BAD_REQUEST("bad_request", 400),

    /** The body is larger than the environment allows. */
    BODY_TOO_LARGE("body_too_large", 413),

    /** No key came with the request, or the key is not known or withdrawn. */
    UNAUTHORIZED("unauthorized", 401),

    /** The resource does not exist, or it belongs to another client account. */
    NOT_FOUND("not_found", 404),

    /** The environment offers no such model. */
    UNKNOWN_MODEL("unknown_model", 404),

    /** The environment offers no such service. */
    UNKNOWN_SERVICE("unknown_service", 404),

    /** The turn's number does not follow the last turn of its program. */
    TURN_OUT_OF_ORDER("turn_out_of_order", 409),

    /** Another request under the same turn number has a different body. */
    TURN_MISMATCH("turn_mismatch", 409),

    /** The turn is under way. */
    TURN_IN_PROGRESS("turn_in_progress", 409),

    /** The program takes no more turns. */
    PROGRAM_ENDED("program_ended", 409),

    /** The program's budget does not cover the call. */
    BUDGET_EXHAUSTED("budget_exhausted", 402),

    /** The client account is over its rate and burst. */
    RATE_LIMITED("rate_limited", 429),

    /** The fleet is too busy to start the call in time. */
    OVERLOADED("overloaded", 503),

    /** No target that can serve the call is reachable. */
    NO_TARGET("no_target", 503),

    /** The platform's store cannot record what this call needs recorded first. */
    STORE_UNAVAILABLE("store_unavailable", 503),

    /** This gateway cannot prove that its configuration, keys and ownership are current. */
    GATEWAY_STALE("gateway_stale", 503),

    /** The gateway is stopping. */
    STOPPING("stopping", 503),

    /** Calls with this body crashed targets before, and it is kept away from all of them. */
    QUARANTINED("quarantined", 422),

    /** The target answered with an error. */
    TARGET_ERROR("target_error", 502),

    /** The target or its sidecar went away during the call. */
    TARGET_LOST("target_lost", 502),

    /** The call took longer than it may. */
    TIMEOUT("timeout", 504),

    /** The caller cancelled the call, or its key was withdrawn. */
    CANCELLED("cancelled", 499),

    /** A defect of chestnutloom. */
    INTERNAL("internal", 500),
}
